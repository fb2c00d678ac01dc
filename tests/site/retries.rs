//! Retries of requests to a service that fails while another one is well.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use pistachioyard_standins::{FaultKind, FaultRule};

use super::caller::new_request_id;
use super::layout::Layout;
use super::support::Site;

/// The retries in the settings beyond a share of the requests.
const SLACK: u32 = 20;
/// The share of the requests in the settings.
const SHARE: f64 = 0.2;
/// The number of look-ups, all within the window in which retries are counted.
const LOOKUPS: u32 = 150;
/// The number of streams of the other service for each look-up.
const STREAMS_PER_LOOKUP: u32 = 4;
const LOOKUP_INTERVAL: Duration = Duration::from_millis(40);

/// Guards against requests of a busy service that pay for retries at a quiet one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_busy_service_pay_for_no_retries_of_look_ups() {
    let site = Site::start_with(Layout {
        events: 4,
        retry_slack: SLACK,
        ..Layout::default()
    })
    .await;
    let to = site.entries[0].caller_address();
    let plain = site.endpoints.iter().filter(|endpoint| endpoint.is_plain);
    let rules: Vec<FaultRule> = plain
        .map(|endpoint| FaultRule {
            from: None,
            to: Some(endpoint.advertised),
            kind: FaultKind::CutFromTarget,
        })
        .collect();
    site.set_proxy_faults(&rules).await;
    let lookups = join_all((0..LOOKUPS).map(|n| {
        let site = &site;
        async move {
            tokio::time::sleep(LOOKUP_INTERVAL * n).await;
            let id = new_request_id();
            let deadline = [("x-deadline-ms", "1500")];
            let path = format!("/lookup/{n}");
            // No endpoint's answer arrives, so only what it ran counts.
            let _ = site
                .send_request(to, Method::POST, &path, &id, &deadline)
                .await;
            id
        }
    }));
    let streams = join_all((0..LOOKUPS * STREAMS_PER_LOOKUP).map(|n| {
        let site = &site;
        async move {
            tokio::time::sleep(LOOKUP_INTERVAL * n / STREAMS_PER_LOOKUP).await;
            site.check_stream(to).await
        }
    }));
    let (lookups, streams) = tokio::join!(lookups, streams);
    let served = streams.iter().filter(|stream| stream.is_ok()).count();
    assert!(served > streams.len() / 2, "{served} streams were served");
    site.set_proxy_faults(&[]).await;
    let runs = site.count_runs().await;
    let runs = lookups.iter().filter_map(|id| runs.get(id));
    let retries: usize = runs.map(|runs| runs - 1).sum();
    let allowed = SHARE * f64::from(LOOKUPS) + f64::from(SLACK);
    println!("{retries} retries, {allowed} allowed; {served} streams served");
    assert!(
        retries as f64 <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}
