//! Entries whose connections to endpoints are accepted, and reset when a request comes on them.

use std::time::Duration;

use futures_util::future::join_all;

use super::{Cut, FirstTry, SETTLE_WINDOW, check_first_tries, check_runs};
use crate::layout::Layout;
use crate::support::Site;

/// How often first tries are sent until the settle window has passed.
const SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Guards against an entry that takes accepted connections for proof that it reaches the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_whose_connections_are_reset_on_use_serves_its_callers() {
    let site = start(3).await;
    let endpoints: Vec<usize> = (0..site.endpoints.len()).collect();
    check(&site, &[0], &endpoints, "all").await;
    let log = site.entries[0].process.log();
    assert!(log.contains("reach: service out of reach"), "it is noticed");
}

/// Guards against the same where all entries of a data centre share the fate, so that those of the
/// other one must serve their callers.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_a_data_centre_whose_connections_are_reset_on_use_serve_their_callers() {
    let site = start(4).await;
    let endpoints: Vec<usize> = (0..site.endpoints.len()).collect();
    check(&site, &[0, 2], &endpoints, "all, from a data centre").await;
}

/// Guards against an entry that goes on to send requests to the endpoints of a data centre which
/// reset its connections on use, although it reaches others.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_whose_connections_to_a_data_centre_are_reset_on_use_serves_its_callers() {
    let site = start(3).await;
    let half: Vec<usize> = (0..site.endpoints.len() / 2).collect();
    check(&site, &[0], &half, "a data centre").await;
}

async fn start(entries: usize) -> Site {
    Site::start_with(Layout {
        entries,
        plain_endpoints: 2,
        ..Layout::default()
    })
    .await
}

/// Cuts entries off, and checks their first tries after the settle window, in which callers go on.
async fn check(site: &Site, cut: &[usize], endpoints: &[usize], what: &str) {
    first_tries(site, cut).await;
    let rules = site.cut_rules(cut, endpoints, Cut::ResetOnUse);
    site.set_proxy_faults(&rules).await;
    let settled = tokio::time::Instant::now() + SETTLE_WINDOW;
    while tokio::time::Instant::now() < settled {
        let early = first_tries(site, cut).await;
        check_runs(site, &early, what).await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    let others = (0..site.entries.len()).filter(|entry| !cut.contains(entry));
    let others: Vec<usize> = others.collect();
    let (at_cut, at_others) = tokio::join!(first_tries(site, cut), first_tries(site, &others));
    check_first_tries(&at_cut, &at_others, what);
    check_runs(site, &at_cut, what).await;
    site.set_proxy_faults(&[]).await;
    site.await_service().await;
}

async fn first_tries(site: &Site, entries: &[usize]) -> Vec<FirstTry> {
    let tries = entries.iter().map(|entry| site.first_tries(*entry));
    join_all(tries).await.into_iter().flatten().collect()
}
