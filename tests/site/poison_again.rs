//! A request that crashes every endpoint that runs it and comes again for a long time.

use std::time::{Duration, Instant};

use http::Method;

use super::caller::new_request_id;
use super::supervisor::Supervisor;
use super::support::Site;

/// The crashes after which the request has to be known, and the time that entries then have.
const CRASHES_TO_KNOW: usize = 3;
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The maximum number of endpoints that the request may reach afterwards.
const MAX_RUNS_AFTERWARDS: usize = 3;
/// The interval at which the request comes to each entry.
const INTERVAL: Duration = Duration::from_millis(250);
/// How long the endpoints may take to crash often enough.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the request to all entries at an interval while `goes_on`.
async fn send_while(site: &Site, goes_on: impl Fn() -> bool) {
    let mut ticks = tokio::time::interval(INTERVAL);
    while goes_on() {
        ticks.tick().await;
        let sends = site.entries.iter().map(|entry| {
            let to = entry.caller_address();
            async move {
                let id = new_request_id();
                let key = format!("Bearer {}", super::support::KEY);
                let headers = [
                    ("x-attempt-id", id.as_str()),
                    ("x-deadline-ms", "2000"),
                    ("authorization", key.as_str()),
                    ("x-token-usage", "100,20"),
                ];
                let body = "poison".into();
                let path = "/draft/poison";
                // Only the endpoints tell what became of it.
                let _ = site
                    .client
                    .send(Method::POST, to, path, &headers, body)
                    .await;
            }
        });
        futures_util::future::join_all(sends).await;
    }
}

async fn send_for(site: &Site, time: Duration) {
    let end = Instant::now() + time;
    send_while(site, || Instant::now() < end).await;
}

/// Sends the request until it has crashed enough endpoints, and for the time to settle.
async fn make_known(site: &Site, supervisor: &Supervisor) {
    let end = Instant::now() + CRASH_TIMEOUT;
    let goes_on = || supervisor.crashes() < CRASHES_TO_KNOW && Instant::now() < end;
    send_while(site, goes_on).await;
    send_for(site, SETTLE_TIME).await;
    assert!(supervisor.crashes() >= CRASHES_TO_KNOW);
}

/// Each end of a hold would cost three endpoints more.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_is_not_sent_again_after_each_hold() {
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    make_known(&site, &supervisor).await;
    let settled = supervisor.crashes();
    send_for(&site, Duration::from_secs(34)).await;
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} afterwards");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}

/// Entries that all start again have no peer that knows the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_is_not_sent_again_after_restarts_of_all_entries() {
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    make_known(&site, &supervisor).await;
    let settled = supervisor.crashes();
    for _ in 0..2 {
        let launcher = site.launcher.clone();
        for entry in &mut site.entries {
            entry.process.kill();
        }
        for entry in &mut site.entries {
            entry.process.start(&launcher);
        }
        send_for(&site, SETTLE_TIME).await;
    }
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} afterwards");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}
