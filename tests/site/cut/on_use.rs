//! Entries whose connections to endpoints are accepted, and reset when a request comes on them.

use std::time::Duration;

use super::{Cut, SETTLE_WINDOW, check_first_tries, check_runs};
use crate::layout::Layout;
use crate::support::Site;

/// How often first tries are sent until the settle window has passed.
const SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Guards against an entry that takes accepted connections for proof that it reaches the endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_whose_connections_are_reset_on_use_serves_its_callers() {
    let site = Site::start_with(Layout {
        entries: 3,
        plain_endpoints: 2,
        ..Layout::default()
    })
    .await;
    let endpoints: Vec<usize> = (0..site.endpoints.len()).collect();
    check(&site, &endpoints, "all").await;
    let log = site.entries[0].process.log();
    assert!(log.contains("reach: service out of reach"), "it is noticed");
}

/// Guards against an entry that goes on to send requests to the endpoints of a data centre which
/// reset its connections on use, although it reaches others.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_whose_connections_to_a_data_centre_are_reset_on_use_serves_its_callers() {
    let site = Site::start_with(Layout {
        entries: 3,
        plain_endpoints: 2,
        ..Layout::default()
    })
    .await;
    let half: Vec<usize> = (0..site.endpoints.len() / 2).collect();
    check(&site, &half, "a data centre").await;
}

/// Cuts entry 0 off, and checks its first tries after the settle window, in which callers go on.
async fn check(site: &Site, endpoints: &[usize], what: &str) {
    site.first_tries(0).await;
    let rules = site.cut_rules(&[0], endpoints, Cut::ResetOnUse);
    site.set_proxy_faults(&rules).await;
    let settled = tokio::time::Instant::now() + SETTLE_WINDOW;
    while tokio::time::Instant::now() < settled {
        let early = site.first_tries(0).await;
        check_runs(site, &early, what).await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    let (at_cut, at_others) = tokio::join!(site.first_tries(0), site.first_tries(1));
    check_first_tries(&at_cut, &at_others, what);
    check_runs(site, &at_cut, what).await;
    site.set_proxy_faults(&[]).await;
    site.await_service().await;
}
