//! A request that crashes every endpoint that runs it and comes again for a long time.

use std::time::{Duration, Instant};

use http::Method;

use super::caller::new_request_id;
use super::layout::Layout;
use super::supervisor::Supervisor;
use super::support::{Entry, Site};

/// The crashes after which the request has to be known, and the time that entries then have.
pub(crate) const CRASHES_TO_KNOW: usize = 3;
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The maximum number of endpoints that the request may reach afterwards.
pub(crate) const MAX_RUNS_AFTERWARDS: usize = 3;
/// The interval at which the request comes to each entry.
const INTERVAL: Duration = Duration::from_millis(250);
/// How long the endpoints may take to crash often enough.
const CRASH_TIMEOUT: Duration = Duration::from_secs(20);

/// Describes the request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Poison {
    pub(crate) body: &'static str,
    pub(crate) path: &'static str,
    /// How the stand-in ends an answer to it.
    pub(crate) answer_end: &'static str,
    /// Whether each second request is answered with a failure instead.
    pub(crate) fails_by_turns: bool,
}

/// Crashes an endpoint before the head of its answer.
pub(crate) const AT_ONCE: Poison = Poison {
    body: "poison",
    path: "/draft/poison",
    answer_end: "framed",
    fails_by_turns: false,
};

/// Sends the request to one entry and waits for its end; only the endpoints tell what became of it.
async fn send_once(site: &Site, entry: &Entry, poison: Poison, fails: bool) {
    let id = new_request_id();
    let key = format!("Bearer {}", super::support::KEY);
    let mut headers = vec![
        ("x-attempt-id", id.as_str()),
        ("x-deadline-ms", "2000"),
        ("authorization", key.as_str()),
        ("x-token-usage", "100,20"),
        ("x-answer-end", poison.answer_end),
    ];
    if fails {
        headers.push(("x-answer-status", "500"));
    }
    let (to, body) = (entry.caller_address(), poison.body.into());
    let sent = site
        .client
        .send(Method::POST, to, poison.path, &headers, body);
    let _ = sent.await;
}

/// Sends the request to all entries at an interval while `goes_on`.
pub(crate) async fn send_while(site: &Site, poison: Poison, goes_on: impl Fn() -> bool) {
    let mut ticks = tokio::time::interval(INTERVAL);
    let mut fails = false;
    while goes_on() {
        ticks.tick().await;
        fails = poison.fails_by_turns && !fails;
        let entries = site.entries.iter();
        let sends = entries.map(|entry| send_once(site, entry, poison, fails));
        futures_util::future::join_all(sends).await;
    }
}

pub(crate) async fn send_for(site: &Site, poison: Poison, time: Duration) {
    let end = Instant::now() + time;
    send_while(site, poison, || Instant::now() < end).await;
}

/// Sends the request until it has crashed enough endpoints, and for the time to settle.
pub(crate) async fn make_known(site: &Site, supervisor: &Supervisor, poison: Poison) {
    let end = Instant::now() + CRASH_TIMEOUT;
    let goes_on = || supervisor.crashes() < CRASHES_TO_KNOW && Instant::now() < end;
    send_while(site, poison, goes_on).await;
    send_for(site, poison, SETTLE_TIME).await;
    assert!(supervisor.crashes() >= CRASHES_TO_KNOW);
}

/// Checks that the request reaches few endpoints after it is known, over two holds.
async fn check_after_holds(poison: Poison) {
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    make_known(&site, &supervisor, poison).await;
    let settled = supervisor.crashes();
    send_for(&site, poison, Duration::from_secs(34)).await;
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} afterwards");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}

/// Each end of a hold would cost three endpoints more.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_is_not_sent_again_after_each_hold() {
    check_after_holds(AT_ONCE).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_in_their_answers_is_not_sent_again() {
    check_after_holds(Poison {
        body: "late poison",
        ..AT_ONCE
    })
    .await;
}

/// The end of an answer without a length looks like a crash, so it must not release the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_in_answers_without_length_is_not_sent_again() {
    check_after_holds(Poison {
        body: "late poison",
        answer_end: "connection",
        ..AT_ONCE
    })
    .await;
}

/// A second attempt of the trial would cost another endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn the_trial_of_a_request_to_a_plain_service_is_a_single_attempt() {
    let poison = Poison {
        path: "/lookup/poison",
        ..AT_ONCE
    };
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    make_known(&site, &supervisor, poison).await;
    let settled = supervisor.crashes();
    send_for(&site, poison, Duration::from_secs(19)).await;
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    assert!(crashes <= 1, "{crashes}");
}

/// A failure is no completion, so it must not release the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_and_fails_at_others_is_not_sent_again() {
    check_after_holds(Poison {
        path: "/lookup/poison",
        fails_by_turns: true,
        ..AT_ONCE
    })
    .await;
}

/// A crash that keeps connections open would count only when they break at last.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_silenced_three_endpoints_for_good_is_not_sent_again() {
    let poison = Poison {
        body: "dark poison",
        ..AT_ONCE
    };
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    let first_sent_at = Instant::now();
    let goes_on = || supervisor.crashes() < CRASHES_TO_KNOW;
    send_while(&site, poison, || {
        goes_on() && first_sent_at.elapsed() < CRASH_TIMEOUT
    })
    .await;
    // The first endpoints have been silent for seconds by now, and those that follow are known
    // to be as well.
    send_for(&site, poison, SETTLE_TIME).await;
    let settled = supervisor.crashes();
    send_for(&site, poison, Duration::from_secs(24)).await;
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} afterwards");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}

/// Its callers leave before anything tells that the endpoint has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_runs_once_at_most_and_silenced_three_endpoints_is_not_sent_again() {
    const TURNS: usize = 9;
    // Longer than the time to settle.
    const TURN: Duration = Duration::from_secs(4);
    const PATIENCE: Duration = Duration::from_millis(1_500);
    let mut site = Site::start_with(Layout {
        entries: 3,
        plain_endpoints: 4,
        ..Layout::default()
    })
    .await;
    site.adopt_config_with(|spec| {
        for route in spec["routes"].as_array_mut().expect("there are routes") {
            route["resumable"] = false.into();
        }
    })
    .await;
    let poison = Poison {
        body: "dark poison",
        path: "/feed/poison",
        ..AT_ONCE
    };
    let supervisor = site.supervise_endpoints();
    let mut turns = tokio::time::interval(TURN);
    for turn in 0..TURNS {
        turns.tick().await;
        let entry = &site.entries[turn % site.entries.len()];
        let sent = send_once(&site, entry, poison, false);
        let _ = tokio::time::timeout(PATIENCE, sent).await;
    }
    // The last endpoints that fell silent end.
    tokio::time::sleep(2 * TURN).await;
    let crashes = supervisor.crashes();
    site.endpoints = supervisor.stop().await;
    println!("crashes: {crashes}");
    assert!(
        crashes <= CRASHES_TO_KNOW + MAX_RUNS_AFTERWARDS,
        "{crashes}"
    );
}

/// Entries that all start again have no peer that knows the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_endpoints_is_not_sent_again_after_restarts_of_all_entries() {
    let mut site = Site::start(3).await;
    let supervisor = site.supervise_endpoints();
    make_known(&site, &supervisor, AT_ONCE).await;
    let settled = supervisor.crashes();
    for _ in 0..2 {
        site.restart_entries();
        send_for(&site, AT_ONCE, SETTLE_TIME).await;
    }
    let crashes = supervisor.crashes() - settled;
    site.endpoints = supervisor.stop().await;
    println!("crashes: {settled} when settled, {crashes} afterwards");
    assert!(crashes <= MAX_RUNS_AFTERWARDS, "{crashes}");
}
