//! Answers that are still being written to slow readers when their entry stops.

use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use tokio::time::Instant;

use super::kept::keep_sending;
use super::{MID_STREAM, ONE_PATH, check_streams, engines_with_first_layer, start_site};
use crate::caller::new_request_id;
use crate::layout::Layout;
use crate::raw::{Exchange, RawConnection};
use crate::support::Site;

/// The number of slow readers.
const READERS: u32 = 4;
/// The size of an answer that fits into the buffers of its connection, in bytes.
const SMALL_ANSWER: u32 = 100 * 1024;
/// The size of an answer that exceeds them, in bytes; just below the limit of 4 MB for whole
/// answers.
const LARGE_ANSWER: u32 = 3_900_000;
/// The size of a stream whose last fifth exceeds them, in bytes.
const LARGE_STREAM: u32 = 32_000_000;
/// The number of events of that stream, each of them smaller than the limit of one.
const EVENTS: u32 = 320;
/// How long a reader takes after the signal; longer than a stopping entry takes new requests,
/// and shorter than the grace period of 4 s.
const READ_TIME: Duration = Duration::from_millis(3_100);
/// How long a reader of a large answer reads nothing after the signal. The buffers take most of
/// the answer, so a steady reader would leave nothing to be written when the entry is idle.
const LARGE_ANSWER_PAUSE: Duration = Duration::from_millis(2_900);
/// The number of connections on which requests are sent around a stop.
const SENDERS: u32 = 100;
/// How long they are sent; longer than a stopping entry runs.
const SENDING_TIME: Duration = Duration::from_secs(5);
/// The time in which many streams begin.
const STREAMS_START_TIME: Duration = Duration::from_millis(700);
/// The number of requests that come one after the other once an entry stops, and the interval; they
/// cover the time in which it takes requests.
const LATE_REQUESTS: usize = 12;
const LATE_INTERVAL: Duration = Duration::from_millis(250);
/// How long each of them runs, in milliseconds; less than the grace period of 4 s.
const LATE_RUN_MS: &str = "2500";
/// The time in which each answer begins.
const START_TIME: Duration = Duration::from_millis(300);

/// Requests answers of this size in all, in parts, and stops the entry before they are read.
///
/// The readers begin after a pause and then read steadily until [`READ_TIME`] has passed.
async fn check_slow_readers(site: &Site, path: &str, size: u32, parts: u32, pause: Duration) {
    let to = site.entries[0].caller_address();
    let part = (size / parts).to_string();
    let reads = join_all((0..READERS).map(|_| async {
        let mut connection = RawConnection::open_with_small_buffer(to).await;
        let headers = [("X-Answer-Bytes", part.as_str())];
        let is_written = connection.write(path, &new_request_id(), &headers).await;
        assert!(is_written, "the entry reads the request");
        tokio::time::sleep(START_TIME + pause).await;
        let rate = f64::from(size) / (READ_TIME - pause).as_secs_f64();
        connection.read_slowly(rate as u64).await
    }));
    let stop = async {
        tokio::time::sleep(START_TIME).await;
        site.entries[0].process.signal(Signal::SIGTERM);
    };
    let (answers, ()) = tokio::join!(reads, stop);
    let cut: Vec<&Exchange> = answers
        .iter()
        .filter(|answer| !matches!(answer, Exchange::Complete(200, body) if body.len() >= size as usize))
        .collect();
    let log = site.entries[0].process.log();
    let stopped = log.lines().find(|line| line.contains("router: stopped"));
    assert!(
        cut.is_empty(),
        "{} of {READERS} answers of {size} bytes were cut off; first: {:?}; {stopped:?}",
        cut.len(),
        cut[0],
    );
}

/// A stopping entry exits before a small answer is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_writes_small_answers_to_slow_readers() {
    let site = start_site(ONE_PATH).await;
    check_slow_readers(&site, "/record/a", SMALL_ANSWER, 1, Duration::ZERO).await;
}

/// A stopping entry exits before a large answer is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_writes_large_answers_to_slow_readers() {
    let site = start_site(ONE_PATH).await;
    check_slow_readers(&site, "/record/a", LARGE_ANSWER, 1, LARGE_ANSWER_PAUSE).await;
}

/// A stopping entry exits before the last events of a stream are written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_writes_large_streams_to_slow_readers() {
    let layout = Layout {
        events: u64::from(EVENTS),
        event_interval_ms: 1,
        ..ONE_PATH
    };
    let site = start_site(layout).await;
    check_slow_readers(&site, "/draft/a", LARGE_STREAM, EVENTS, Duration::ZERO).await;
}

/// A request that was passed on has no answer because the entry exits.
#[tokio::test(flavor = "multi_thread")]
async fn requests_around_a_stop_are_answered_or_not_passed_on() {
    let site = start_site(ONE_PATH).await;
    let to = site.entries[0].caller_address();
    let until = Instant::now() + SENDING_TIME;
    let sent = join_all((0..SENDERS).map(|_| keep_sending(to, until)));
    let stop = async {
        tokio::time::sleep(START_TIME).await;
        site.entries[0].process.signal(Signal::SIGTERM);
    };
    let (sent, ()) = tokio::join!(sent, stop);
    let runs = site.count_runs().await;
    let exchanges = sent.iter().flatten();
    let lost: Vec<_> = exchanges
        .filter(|(id, exchange)| matches!(exchange, Exchange::Cut(_)) && runs.contains_key(id))
        .collect();
    let log = site.entries[0].process.log();
    assert!(log.contains("router: stopped"), "the entry has stopped");
    assert!(
        lost.is_empty(),
        "{} ran and had no answer: {lost:?}",
        lost.len()
    );
}

/// Guards against taking a request that may not be repeated and cutting it off at the end of the
/// grace period.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_takes_no_request_that_it_may_have_to_cut_off() {
    let site = start_site(ONE_PATH).await;
    let to = site.entries[0].caller_address();
    let mut kept = Vec::new();
    for _ in 0..LATE_REQUESTS {
        let mut connection = RawConnection::open(to).await;
        assert!(connection.write("/record/a", &new_request_id(), &[]).await);
        assert!(matches!(
            connection.read().await,
            Exchange::Complete(200, _)
        ));
        kept.push(connection);
    }
    site.entries[0].process.signal(Signal::SIGTERM);
    let sent = kept
        .into_iter()
        .zip(1..)
        .map(|(mut connection, turn)| async move {
            tokio::time::sleep(LATE_INTERVAL * turn).await;
            let id = new_request_id();
            let extra = [("X-Run-Ms", LATE_RUN_MS)];
            connection.write("/record/a", &id, &extra).await;
            (id, connection.read().await)
        });
    let sent = join_all(sent).await;
    let runs = site.count_runs().await;
    let cut: Vec<_> = sent
        .iter()
        .filter(|(id, exchange)| matches!(exchange, Exchange::Cut(_)) && runs.contains_key(id))
        .collect();
    assert!(
        cut.is_empty(),
        "{} ran and had no answer: {cut:?}",
        cut.len()
    );
    let not_run = |exchange: &Exchange| matches!(exchange, Exchange::Complete(503, _));
    let refused = sent.iter().filter(|(_, exchange)| not_run(exchange));
    for (id, _) in refused {
        assert!(!runs.contains_key(id), "{id} was refused and ran");
    }
}

/// Streams of a stopping entry are cut off when their only first endpoint is paused.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_stopping_entry_go_on_after_a_silence() {
    let site = start_site(ONE_PATH).await;
    let first = engines_with_first_layer(&site, true).await;
    let stop = async {
        tokio::time::sleep(STREAMS_START_TIME).await;
        site.entries[0].process.signal(Signal::SIGTERM);
    };
    tokio::join!(check_streams(&site, &first, MID_STREAM), stop);
}
