//! A request that has crashed all endpoints of its service, so that no other one shows that the
//! links of the entries are sound.

use std::time::Duration;

use super::layout::Layout;
use super::poison_again::{AT_ONCE, MAX_RUNS_AFTERWARDS, Poison, make_known, send_for};
use super::support::Site;

/// Sent to the service without a pipeline, which has few endpoints.
const LOOK_UP: Poison = Poison {
    path: "/lookup/poison",
    ..AT_ONCE
};
/// Sent there too, and runs once at most.
const RECORD: Poison = Poison {
    path: "/record/poison",
    ..AT_ONCE
};
/// Sent there too, and leaves the connections of the endpoints that it ends open for seconds.
const SILENT: Poison = Poison {
    body: "dark poison",
    ..LOOK_UP
};
/// How long the request comes again once it has to be known.
const REPEATED_FOR: Duration = Duration::from_secs(20);

/// Returns a site whose endpoints refuse connections while they are down, with one endpoint of
/// the service without a pipeline in each data centre.
fn layout(data_centres: &'static [&'static str]) -> Layout {
    Layout {
        entries: 3,
        data_centres,
        is_proxied: false,
        ..Layout::default()
    }
}

/// Checks that the request reaches few endpoints once it is known.
async fn check_after_outage(layout: Layout, poison: Poison) {
    let mut site = Site::start_with(layout).await;
    let supervisor = site.supervise_endpoints();
    make_known(&site, &supervisor, poison).await;
    let settled = supervisor.crashes();
    send_for(&site, poison, REPEATED_FOR).await;
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} afterwards");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}

/// No endpoint is left that shows that the others are down and not out of reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_all_endpoints_of_its_service_is_not_sent_again() {
    check_after_outage(layout(&["east", "west"]), LOOK_UP).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_at_most_once_request_that_crashed_all_endpoints_of_its_service_is_not_sent_again() {
    check_after_outage(layout(&["east", "west"]), RECORD).await;
}

/// A service with one endpoint never has another that is reached.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_the_only_endpoint_of_its_service_is_not_sent_again() {
    check_after_outage(layout(&["east"]), LOOK_UP).await;
}

/// Its callers' deadlines pass before the connections break.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_silenced_the_endpoints_of_a_plain_service_is_not_sent_again() {
    check_after_outage(layout(&["east", "west"]), SILENT).await;
}
