//! What remains of a short silence of a sound endpoint.

use serde_json::Value;

use super::{FEW_STREAMS, MID_STREAM, ONE_PATH, Scenario, Silence, check_streams, start_site};
use crate::layout::Layout;
use crate::support::Site;

/// What entries log if they take an endpoint for lost.
const TAKEN_FOR_LOST: [&str; 3] = [
    "quarantine: endpoint lost under a request",
    "quarantine: endpoint crashed",
    "a peer found it dead",
];

/// A short silence leads to no orders, is counted against no request, and takes the endpoint from
/// no other entry.
async fn check_silence(how: Silence) {
    let layout = Layout {
        entries: 2,
        engines: 4,
        ..ONE_PATH
    };
    let site = start_site(layout).await;
    let orders = orders(&site).await;
    let scenario = Scenario {
        streams: FEW_STREAMS,
        how,
        ..MID_STREAM
    };
    check_streams(&site, &[0], scenario).await;
    assert_eq!(
        self::orders(&site).await,
        orders,
        "no layers are placed anew"
    );
    for entry in &site.entries {
        let log = entry.process.log();
        let taken = log
            .lines()
            .find(|line| TAKEN_FOR_LOST.iter().any(|text| line.contains(text)));
        assert_eq!(taken, None);
    }
}

/// Returns the number of orders that each engine has begun.
async fn orders(site: &Site) -> Vec<Value> {
    let mut counts = Vec::new();
    for endpoint in site.endpoints.iter().filter(|e| !e.is_plain) {
        let report = site
            .client
            .get_json::<Value>(endpoint.address, "/report")
            .await;
        counts.push(report.expect("the endpoint answers")["sequence"].clone());
    }
    counts
}

/// A paused endpoint keeps its connections, and the kernel accepts new ones for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_pause_of_a_sound_endpoint_is_counted_nowhere() {
    check_silence(Silence::Paused).await;
}

/// A deaf endpoint accepts no connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_deafness_of_a_sound_endpoint_is_counted_nowhere() {
    check_silence(Silence::Deaf).await;
}
