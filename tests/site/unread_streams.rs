//! Streams of large events whose callers read late or not at all.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::iter;

use super::caller::{Failure, new_request_id};
use super::layout::Layout;
use super::memory::{MACHINE_BYTES, await_unused, check_peak};
use super::raw::{Exchange, RawConnection};
use super::support::Site;

/// The number of callers that use almost all descriptors of a machine, two for each stream.
const CALLERS: usize = 2_000;
/// The number of callers that read their streams late.
const LATE_CALLERS: usize = 600;
/// The number of events of their streams, so few that a busy machine sends them in time.
const LATE_EVENTS: u64 = 4;
/// The number of events of each stream, which callers that read get well before their deadline.
const EVENTS: u64 = 10;
/// The size of an event that is within the limit for events, in bytes.
const EVENT_BYTES: usize = 100_000;
/// The tokens of a prompt and an answer so short that all streams fit on the endpoints.
const TOKENS: &str = "10,2";
/// The number of callers that connect at the same time.
const CONNECTS: usize = 200;
/// The number of small requests of each kind that are sent beside the streams.
const SMALL_REQUESTS: usize = 20;
/// The operators' time for a stream, in milliseconds.
const STREAM_LIMIT_MS: u64 = 20_000;
/// How long streams are not read.
const UNREAD_TIME: Duration = Duration::from_secs(3);
/// How long callers that read late do not read.
const READ_PAUSE: Duration = Duration::from_millis(1_500);

/// Starts a site with the smallest machine and room at the endpoints for all streams.
async fn start(events: u64) -> Site {
    let site = Site::start_with(Layout {
        memory_mb: Some(MACHINE_BYTES / 1_000_000),
        events,
        ..Layout::default()
    })
    .await;
    site.adopt_config_with(|spec| {
        for route in spec["routes"].as_array_mut().into_iter().flatten() {
            route["timeout_ms"] = STREAM_LIMIT_MS.into();
        }
        for service in spec["services"].as_array_mut().into_iter().flatten() {
            service["max_connections"] = (10 * CALLERS).into();
            if service.get("engine").is_some() {
                service["engine"]["slots"] = (10 * CALLERS).into();
            }
        }
    })
    .await;
    site
}

/// Starts streams of large events and does not read them.
async fn open_streams(to: SocketAddr, callers: usize) -> Vec<RawConnection> {
    let size = EVENT_BYTES.to_string();
    let deadline = STREAM_LIMIT_MS.to_string();
    let sending = (0..callers).map(|n| {
        let extra = [
            ("X-Answer-Bytes", size.as_str()),
            ("X-Deadline-Ms", deadline.as_str()),
            ("X-Token-Usage", TOKENS),
        ];
        async move {
            let mut caller = RawConnection::open_with_small_buffer(to).await;
            let path = format!("/draft/{n}");
            assert!(caller.write(&path, &new_request_id(), &extra).await);
            caller
        }
    });
    iter(sending).buffer_unordered(CONNECTS).collect().await
}

/// Sends small requests without streams one after another and returns how they ended.
async fn check_plain_requests(site: &Site, to: SocketAddr) -> Vec<Result<(), Failure>> {
    let mut results = Vec::new();
    for path in ["/lookup/a", "/record/a"].repeat(SMALL_REQUESTS) {
        results.push(site.check_plain(to, path).await.result);
    }
    results
}

/// Reads a stream and returns how much of it is missing, or why it was cut off.
async fn read_late(mut caller: RawConnection) -> Result<(), String> {
    match caller.read().await {
        Exchange::Complete(200, body) if body.len() > LATE_EVENTS as usize * EVENT_BYTES => Ok(()),
        Exchange::Complete(status, body) => Err(format!("{status}, {} bytes", body.len())),
        Exchange::Cut(why) => Err(why),
    }
}

/// Guards against as many streams that are not read as the machine has descriptors for.
#[tokio::test(flavor = "multi_thread")]
async fn thousands_of_streams_that_are_not_read_do_not_fill_the_memory() {
    let site = start(EVENTS).await;
    let to = site.entries[0].caller_address();
    let callers = open_streams(to, CALLERS).await;
    let reading = join_all((0..SMALL_REQUESTS).map(|_| site.check_stream(to)));
    let pause = tokio::time::sleep(UNREAD_TIME);
    let (plain, read, ()) = tokio::join!(check_plain_requests(&site, to), reading, pause);
    check_peak(&site);
    assert_eq!(plain, vec![Ok(()); 2 * SMALL_REQUESTS]);
    assert_eq!(read, vec![Ok(()); SMALL_REQUESTS]);
    drop(callers);
    await_unused(&site, "events").await;
}

/// Guards against streams that are broken off since many callers read late.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_read_late_are_complete() {
    let site = start(LATE_EVENTS).await;
    let to = site.entries[0].caller_address();
    let callers = open_streams(to, LATE_CALLERS).await;
    tokio::time::sleep(READ_PAUSE).await;
    let read = join_all(callers.into_iter().map(read_late)).await;
    let failed: Vec<_> = read.iter().filter_map(|read| read.as_ref().err()).collect();
    assert!(failed.is_empty(), "{} cut: {failed:.3?}", failed.len());
}
