//! Answers that are still being written to slow readers when their entry stops.

use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;

use super::{ONE_PATH, start_site};
use crate::caller::new_request_id;
use crate::layout::Layout;
use crate::raw::{Exchange, RawConnection};
use crate::support::Site;

/// The number of slow readers.
const READERS: u32 = 4;
/// The size of an answer that fits into the buffers of its connection, in bytes.
const SMALL_ANSWER: u32 = 100 * 1024;
/// The size of an answer whose last fifth exceeds them, in bytes.
const LARGE_ANSWER: u32 = 32 * 1024 * 1024;
/// The number of events of a stream; together they are as large as a large answer.
const EVENTS: u32 = 8;
/// How long a reader takes after the signal; longer than a stopping entry takes new requests,
/// and shorter than the grace period of 4 s.
const READ_TIME: Duration = Duration::from_millis(3_100);
/// The time in which each answer begins.
const START_TIME: Duration = Duration::from_millis(300);

/// Requests answers of this size in all, in parts, and stops the entry while they are read.
async fn check_slow_readers(site: &Site, path: &str, size: u32, parts: u32) {
    let to = site.entries[0].caller_address();
    let part = (size / parts).to_string();
    let reads = join_all((0..READERS).map(|_| async {
        let mut connection = RawConnection::open_with_small_buffer(to).await;
        let headers = [("X-Answer-Bytes", part.as_str())];
        let is_written = connection.write(path, &new_request_id(), &headers).await;
        assert!(is_written, "the entry reads the request");
        tokio::time::sleep(START_TIME).await;
        let rate = f64::from(size) / READ_TIME.as_secs_f64();
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
    check_slow_readers(&site, "/record/a", SMALL_ANSWER, 1).await;
}

/// A stopping entry exits before a large answer is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_writes_large_answers_to_slow_readers() {
    let site = start_site(ONE_PATH).await;
    check_slow_readers(&site, "/record/a", LARGE_ANSWER, 1).await;
}

/// A stopping entry exits before the last events of a stream are written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_writes_large_streams_to_slow_readers() {
    let layout = Layout {
        events: u64::from(EVENTS),
        ..ONE_PATH
    };
    let site = start_site(layout).await;
    check_slow_readers(&site, "/draft/a", LARGE_ANSWER, EVENTS).await;
}
