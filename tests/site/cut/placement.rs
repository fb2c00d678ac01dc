//! Layers stay where they are while an entry does not reach their endpoints.

use serde_json::Value;

use super::{Cut, SETTLE_WINDOW};
use crate::support::Site;

/// An entry that places layers orders none anew for endpoints that only it does not reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_entry_moves_no_layers() {
    let site = Site::start(3).await;
    let before = layers(&site).await;
    for cut in Cut::ALL {
        // Whichever entry places the layers is among them.
        for entry in 0..site.entries.len() {
            site.cut_off(&[entry], cut).await;
            for _ in 0..3 {
                site.first_tries(entry).await;
            }
            tokio::time::sleep(SETTLE_WINDOW).await;
            site.set_proxy_faults(&[]).await;
            site.await_service().await;
        }
        assert_eq!(layers(&site).await, before, "{cut:?}");
    }
}

/// Returns the layers of all endpoints with the number of orders that led to them.
async fn layers(site: &Site) -> Vec<(Value, Value)> {
    let mut held = Vec::new();
    for endpoint in site.endpoints.iter().filter(|e| !e.is_plain) {
        let report = site
            .client
            .get_json::<Value>(endpoint.address, "/report")
            .await;
        let report = report.expect("the endpoint answers");
        held.push((report["layers"].clone(), report["sequence"].clone()));
    }
    held
}
