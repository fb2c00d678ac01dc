//! Requests to plain services whose endpoints fall silent.

use std::time::Duration;

use futures_util::future::join_all;

use super::{ONE_PATH, Silence, apply_config, count_failures, silence, start_site};
use crate::caller::{Failure, Outcome};
use crate::layout::Layout;
use crate::support::Site;

/// The number of requests beside one silence.
const REQUESTS: u32 = 300;
/// The time between two requests; the silence begins after the first ones and ends before the
/// last ones.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// How long before the silence the first request is sent.
const LEAD_TIME: Duration = Duration::from_millis(200);

/// Sends requests while endpoints are silent beside a change of the configuration, and checks
/// that each is answered or refused as not run.
async fn check_requests(site: &Site, path: &str, silent: &[usize], how: Silence) {
    let to = site.entries[0].caller_address();
    let requests = join_all((0..REQUESTS).map(|n| async move {
        tokio::time::sleep(REQUEST_INTERVAL * n).await;
        site.check_plain(to, path).await
    }));
    let disturb = async {
        tokio::time::sleep(LEAD_TIME).await;
        tokio::join!(silence(site, silent, how), apply_config(site));
    };
    let (outcomes, ()) = tokio::join!(requests, disturb);
    let failed: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.result, Err(Failure::Unknown(_))))
        .collect();
    let refused = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.result, Err(Failure::NotRun(_))))
        .count();
    println!("{path} {how:?}: {refused} of {REQUESTS} refused as not run");
    assert!(
        failed.is_empty(),
        "{} of {REQUESTS} requests failed, {how:?}; first: {} {:?}; as the entry logged them: {:#?}",
        failed.len(),
        failed[0].id,
        failed[0].result,
        count_failures(&site.entries[0].process.log()),
    );
}

/// Returns a site with this many endpoints of the plain service, and the index of one of them.
async fn start_plain_site(plain_endpoints: usize) -> (Site, usize) {
    let layout = Layout {
        plain_endpoints,
        ..ONE_PATH
    };
    let site = start_site(layout).await;
    let plain = site.endpoints.iter().position(|endpoint| endpoint.is_plain);
    (site, plain.expect("there is a plain endpoint"))
}

/// Returns a site without retries, and the indices of its two endpoints of the plain service.
async fn start_two_plain_without_retries() -> (Site, Vec<usize>) {
    let layout = Layout {
        plain_endpoints: 2,
        retry_slack: 0,
        ..ONE_PATH
    };
    let site = start_site(layout).await;
    let endpoints = site.endpoints.iter().enumerate();
    let plain = endpoints.filter(|(_, endpoint)| endpoint.is_plain);
    let plain = plain.map(|(index, _)| index).collect();
    (site, plain)
}

/// Operations fail early while their only endpoint is paused.
#[tokio::test(flavor = "multi_thread")]
async fn operations_are_answered_after_their_only_endpoint_was_paused() {
    let (site, silent) = start_plain_site(1).await;
    check_requests(&site, "/record/a", &[silent], Silence::Paused).await;
}

/// Operations fail early while their only endpoint accepts no connections.
#[tokio::test(flavor = "multi_thread")]
async fn operations_are_answered_after_their_only_endpoint_was_deaf() {
    let (site, silent) = start_plain_site(1).await;
    check_requests(&site, "/record/a", &[silent], Silence::Deaf).await;
}

/// Look-ups fail early while their only endpoint is paused.
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_are_answered_after_their_only_endpoint_was_paused() {
    let (site, silent) = start_plain_site(1).await;
    check_requests(&site, "/lookup/a", &[silent], Silence::Paused).await;
}

/// Look-ups fail early while their only endpoint accepts no connections.
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_are_answered_after_their_only_endpoint_was_deaf() {
    let (site, silent) = start_plain_site(1).await;
    check_requests(&site, "/lookup/a", &[silent], Silence::Deaf).await;
}

/// Look-ups fail early while one of two endpoints is paused and the retries are used up.
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_are_answered_after_one_of_two_endpoints_was_paused() {
    let (site, silent) = start_plain_site(2).await;
    check_requests(&site, "/lookup/a", &[silent], Silence::Paused).await;
}

/// Look-ups fail early while one of two endpoints is paused and there is no retry left.
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_are_answered_after_a_silence_without_retries() {
    let (site, plain) = start_two_plain_without_retries().await;
    check_requests(&site, "/lookup/a", &plain[..1], Silence::Paused).await;
}

/// Look-ups fail early while both endpoints are paused and there is no retry left.
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_are_answered_after_a_silence_of_both_endpoints_without_retries() {
    let (site, plain) = start_two_plain_without_retries().await;
    check_requests(&site, "/lookup/a", &plain, Silence::Paused).await;
}

/// Streams of a plain service fail early while their only endpoint is paused.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_plain_service_are_answered_after_their_only_endpoint_was_paused() {
    let (site, silent) = start_plain_site(1).await;
    check_requests(&site, "/feed/a", &[silent], Silence::Paused).await;
}

/// Streams of a plain service fail early while their only endpoint accepts no connections.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_plain_service_are_answered_after_their_only_endpoint_was_deaf() {
    let (site, silent) = start_plain_site(1).await;
    check_requests(&site, "/feed/a", &[silent], Silence::Deaf).await;
}
