//! Retries of requests to a service that fails while another one is well.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use pistachioyard_standins::{FaultKind, FaultRule, wait_until};
use serde_json::json;

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
/// The time between two look-ups.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(40);
/// How long an entry is remembered that is not heard.
const FORGET_TIME: Duration = Duration::from_millis(9_500);
/// An address at which nobody listens.
const NOBODY: &str = "127.0.0.1:9";
/// How long entries may take to agree on their number; several reads of the registrations.
const AGREEMENT_TIME: Duration = Duration::from_secs(12);

/// Returns rules that play a fault at all endpoints of the service without a pipeline.
fn rules(site: &Site, kind: FaultKind) -> Vec<FaultRule> {
    let plain = site.endpoints.iter().filter(|endpoint| endpoint.is_plain);
    let rule = |to| FaultRule {
        from: None,
        to: Some(to),
        kind,
    };
    plain.map(|endpoint| rule(endpoint.advertised)).collect()
}

/// Sends a look-up after a pause and returns its id.
async fn look_up(site: &Site, n: u32, deadline_ms: &str) -> String {
    tokio::time::sleep(LOOKUP_INTERVAL * n).await;
    let entry = &site.entries[n as usize % site.entries.len()];
    let (id, to) = (new_request_id(), entry.caller_address());
    let path = format!("/lookup/{n}");
    let deadline = [("x-deadline-ms", deadline_ms)];
    // Endpoints fail on purpose, so only what they ran counts.
    let _ = site
        .send_request(to, Method::POST, &path, &id, &deadline)
        .await;
    id
}

/// Checks that the endpoints ran these requests again no more often than the budget allows.
async fn check_retries(site: &Site, ids: &[String]) {
    site.set_proxy_faults(&[]).await;
    let runs = site.count_runs().await;
    let runs = ids.iter().filter_map(|id| runs.get(id));
    let retries: usize = runs.map(|runs| runs - 1).sum();
    let allowed = SHARE * ids.len() as f64 + f64::from(SLACK);
    println!("{retries} retries, {allowed} allowed");
    assert!(
        retries as f64 <= allowed,
        "{retries} retries, {allowed} allowed"
    );
}

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
    site.set_proxy_faults(&rules(&site, FaultKind::CutFromTarget))
        .await;
    let lookups = join_all((0..LOOKUPS).map(|n| look_up(&site, n, "1500")));
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
    check_retries(&site, &lookups).await;
}

/// Guards against connections that break once a request went out, and are taken for ones that never
/// carried it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_connections_break_draw_on_the_budget() {
    // From the first bytes of a request to the last ones of its answer.
    for bytes in [1, 350, 450] {
        let site = Site::start_with(Layout {
            retry_slack: SLACK,
            ..Layout::default()
        })
        .await;
        site.set_proxy_faults(&rules(&site, FaultKind::DropAfter { bytes }))
            .await;
        let lookups = join_all((0..LOOKUPS).map(|n| look_up(&site, n, "1500"))).await;
        print!("{bytes} bytes: ");
        check_retries(&site, &lookups).await;
    }
}

/// Guards against entries that never take their part of the slack.
#[tokio::test(flavor = "multi_thread")]
async fn entries_divide_the_slack_by_their_number() {
    let site = Site::start(3).await;
    await_parts(&site).await;
}

/// Waits until the slack is divided by the number of entries, at each of them.
async fn await_parts(site: &Site) {
    let expected = format!("router_retry_parts {}", site.entries.len());
    for entry in &site.entries {
        wait_until(AGREEMENT_TIME, "parts of the slack", || async {
            let metrics = site.fetch_metrics(entry).await;
            metrics.lines().any(|line| line == expected)
        })
        .await
        .expect("the slack is divided by all entries");
    }
}

/// Guards against sides of a cut that each take over the retries of the others.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_do_not_hear_each_other_share_one_budget() {
    let mut site = Site::prepare(Layout {
        entries: 4,
        retry_slack: SLACK,
        ..Layout::default()
    });
    site.start_store().await;
    site.control_store("strangers", json!(NOBODY)).await;
    assert!(site.apply_config().await, "the store accepts it");
    site.start_endpoints();
    site.start_entries();
    site.await_service().await;
    await_parts(&site).await;
    // Two of them lose the store too, until after the others have forgotten them.
    let cut = site.entries[2..].iter().map(|entry| FaultRule {
        from: Some(entry.ip.to_string()),
        to: Some(site.proxied_store),
        kind: FaultKind::Cut,
    });
    let mut faults: Vec<FaultRule> = cut.collect();
    site.set_proxy_faults(&faults).await;
    tokio::time::sleep(FORGET_TIME).await;
    // The end of each answer is lost with its connection.
    faults.extend(rules(&site, FaultKind::DropAfter { bytes: 450 }));
    site.set_proxy_faults(&faults).await;
    let lookups = join_all((0..LOOKUPS).map(|n| look_up(&site, n, "1500"))).await;
    check_retries(&site, &lookups).await;
}
