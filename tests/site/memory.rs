//! Callers whose requests together are larger than the memory of an entry's machine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::iter;
use http::Method;
use pistachioyard_standins::wait_until;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::caller::new_request_id;
use super::layout::Layout;
use super::raw::RawConnection;
use super::support::{KEY, Site};

/// The memory of the smallest machine that an entry is meant for, in bytes.
pub(super) const MACHINE_BYTES: u64 = 260_000_000;
/// The operators' limit for bodies, in bytes.
const MAX_BODY_BYTES: usize = 4_194_304;
/// The size of a body of which the last byte is not sent.
const BODY_BYTES: usize = 4_000_001;
/// The number of callers whose bodies are larger than the machine's memory together.
const LARGE_CALLERS: usize = 120;
/// The number of callers whose heads are larger than the machine's memory together; it has 4,200
/// descriptors.
const LONG_CALLERS: usize = 3_500;
/// The largest size of a small answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4_096;
/// The size of a head that does not end, in bytes.
const LONG_HEAD_BYTES: usize = 60_000;
/// The size of a long header that proxies and browsers usually take, in bytes.
const USUAL_HEADER_BYTES: usize = 7_000;
/// The number of callers that connect at the same time.
const CONNECTS: usize = 200;
/// The number of small requests that are sent beside the large ones.
const SMALL_REQUESTS: usize = 20;
/// The size of an answer that is within the limit for answers, in bytes.
const LARGE_ANSWER_BYTES: usize = 3_900_000;
/// The number of callers that do not read their streams.
const STREAM_CALLERS: usize = 400;
/// The number of events of their streams, more than are sent to a caller that does not read.
const STREAM_EVENTS: u64 = 200;
/// The size of an event that is within the limit for events, in bytes.
const LARGE_EVENT_BYTES: usize = 100_000;
/// How long the endpoints send events that are not read.
const STREAM_TIME: Duration = Duration::from_secs(5);
/// The timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(6);
/// How much later than its timeout a request may be answered.
const SLACK: Duration = Duration::from_millis(500);
/// How long the large requests may take to arrive, and the memory for them to come back.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Holds the connection of a caller, how much of its body was sent, and what it was answered.
struct LargeCaller {
    id: String,
    stream: TcpStream,
    sent_bytes: usize,
    answer: String,
}

/// Starts a site whose entry has the smallest machine, with the operators' limits.
async fn start() -> Site {
    let site = Site::start_with(Layout {
        memory_mb: Some(MACHINE_BYTES / 1_000_000),
        ..Layout::default()
    })
    .await;
    site.adopt_config_with(|spec| {
        spec["limits"]["max_body_bytes"] = MAX_BODY_BYTES.into();
        spec["limits"]["max_header_bytes"] = 65_536.into();
    })
    .await;
    site
}

/// Returns the beginning of a head.
fn head(to: SocketAddr, id: &str) -> String {
    format!(
        "POST /lookup/a HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 60000\r\n",
        to.ip()
    )
}

/// Sends a body but for its last byte, until it is sent or the request is answered.
async fn send_most_of_a_body(to: SocketAddr, body: &[u8]) -> LargeCaller {
    let id = new_request_id();
    let mut stream = TcpStream::connect(to).await.expect("the entry accepts");
    let head = format!("{}Content-Length: {BODY_BYTES}\r\n\r\n", head(to, &id));
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the entry takes the head");
    let mut answer = vec![0; MAX_ANSWER_BYTES];
    let (mut reading, mut writing) = stream.split();
    let (mut sent_bytes, mut read_bytes) = (0, 0);
    while sent_bytes < BODY_BYTES - 1 && read_bytes == 0 {
        tokio::select! {
            biased;
            read = reading.read(&mut answer) => read_bytes = read.expect("the connection is open"),
            written = writing.write(&body[sent_bytes..BODY_BYTES - 1]) => {
                sent_bytes += written.expect("the connection is open");
            }
        }
    }
    answer.truncate(read_bytes);
    LargeCaller {
        id,
        stream,
        sent_bytes,
        answer: String::from_utf8_lossy(&answer).into_owned(),
    }
}

/// Sends more bodies than the memory holds, but for their last bytes.
async fn send_large_bodies(to: SocketAddr, body: &[u8]) -> Vec<LargeCaller> {
    let sending = (0..LARGE_CALLERS).map(|_| send_most_of_a_body(to, body));
    let callers = tokio::time::timeout(TIMEOUT, join_all(sending)).await;
    callers.expect("each body is taken or refused")
}

/// Checks that the first entry's memory is below its machine's.
pub(super) fn check_peak(site: &Site) {
    let peak = site.peak_memory_bytes();
    println!("the entry's memory was {peak} bytes at most");
    assert!(peak < MACHINE_BYTES, "{peak} bytes");
}

/// Waits until the entry says that no memory of a kind is in use.
pub(super) async fn await_unused(site: &Site, kind: &str) {
    let expected = format!("router_memory_used_bytes{{kind=\"{kind}\"}} 0");
    wait_until(TIMEOUT, "unused memory", || async {
        let metrics = site.fetch_metrics(&site.entries[0]).await;
        metrics.lines().any(|line| line == expected)
    })
    .await
    .expect("the memory comes back");
}

/// Returns how many requests the first entry has ended.
async fn count_ended(site: &Site) -> u64 {
    let metrics = site.fetch_metrics(&site.entries[0]).await;
    let series = metrics.lines().filter_map(|line| {
        let value = line.strip_prefix("router_requests_total{")?;
        value.split_whitespace().last()?.parse::<u64>().ok()
    });
    series.sum()
}

/// Small requests of all kinds are served.
async fn check_small_requests(site: &Site, to: SocketAddr) {
    for _ in 0..SMALL_REQUESTS {
        let lookup = site.check_plain(to, "/lookup/a").await;
        assert_eq!(lookup.result, Ok(()), "{}", lookup.id);
        let operation = site.check_plain(to, "/record/a").await;
        assert_eq!(operation.result, Ok(()), "{}", operation.id);
        assert_eq!(site.check_stream(to).await, Ok(()));
    }
}

/// Sends a whole body of almost the largest size and returns the status of the answer.
async fn send_large_body(site: &Site, to: SocketAddr) -> u16 {
    let (id, key) = (new_request_id(), format!("Bearer {KEY}"));
    let headers = [
        ("x-attempt-id", id.as_str()),
        ("authorization", key.as_str()),
        ("x-deadline-ms", "5000"),
    ];
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let sent = site
        .client
        .send(Method::POST, to, "/lookup/a", &headers, body)
        .await;
    sent.expect("the request is answered").status.as_u16()
}

/// Guards against bodies that together fill the memory, each within its limit.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_bodies_at_once_do_not_fill_the_memory() {
    let site = start().await;
    let to = site.entries[0].caller_address();
    let callers = send_large_bodies(to, &vec![b'x'; BODY_BYTES]).await;
    check_small_requests(&site, to).await;
    check_peak(&site);
    let runs = site.count_runs().await;
    let refused = callers.iter().filter(|caller| !caller.answer.is_empty());
    let refused: Vec<_> = refused.collect();
    println!("{} of {LARGE_CALLERS} refused", refused.len());
    for caller in &refused {
        let answer = caller.answer.to_lowercase();
        assert!(answer.starts_with("http/1.1 503 "), "{answer}");
        assert!(answer.contains("\r\nretry-after: "), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        assert_eq!(runs.get(&caller.id), None, "{} has run", caller.id);
    }
    assert!(refused.len() < LARGE_CALLERS, "some bodies have room");
    drop(callers);
    await_unused(&site, "bodies").await;
    assert_eq!(send_large_body(&site, to).await, 200);
}

/// Guards against a refusal whose caller loses its connection, since it still sends its body.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_body_was_refused_uses_its_connection_again() {
    let site = start().await;
    let to = site.entries[0].caller_address();
    let body = vec![b'x'; BODY_BYTES];
    let mut callers = send_large_bodies(to, &body).await;
    let refused = callers.iter().position(|caller| !caller.answer.is_empty());
    let mut refused = callers.swap_remove(refused.expect("one is refused"));
    let rest = &body[refused.sent_bytes..];
    let small = format!("{}Content-Length: 4\r\n\r\nbody", head(to, "again"));
    for part in [rest, small.as_bytes()] {
        let written = refused.stream.write_all(part).await;
        written.expect("the connection is open");
    }
    let mut answer = vec![0; MAX_ANSWER_BYTES];
    let read = tokio::time::timeout(TIMEOUT, refused.stream.read(&mut answer)).await;
    let read_bytes = read.expect("it is answered").expect("it is open");
    let answer = String::from_utf8_lossy(&answer[..read_bytes]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}

/// Guards against bodies that do not end and keep their memory for as long as their callers stay.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stalls_keeps_its_memory_no_longer_than_its_deadline() {
    let site = start().await;
    let to = site.entries[0].caller_address();
    let id = new_request_id();
    let mut stream = TcpStream::connect(to).await.expect("the entry accepts");
    let head = format!("{}Content-Length: 4\r\n\r\nbod", head(to, &id));
    let written = stream.write_all(head.as_bytes()).await;
    written.expect("the entry takes the head");
    let mut answer = vec![0; MAX_ANSWER_BYTES];
    let read = tokio::time::timeout(ROUTE_TIMEOUT + SLACK, stream.read(&mut answer)).await;
    let read_bytes = read.expect("it is answered in time").expect("it is open");
    let answer = String::from_utf8_lossy(&answer[..read_bytes]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert_eq!(site.count_runs().await.get(&id), None, "{id} has run");
    await_unused(&site, "bodies").await;
}

/// Guards against answers that wait for callers which do not read.
#[tokio::test(flavor = "multi_thread")]
async fn many_answers_that_are_not_read_do_not_fill_the_memory() {
    let site = start().await;
    let to = site.entries[0].caller_address();
    let before = count_ended(&site).await;
    let size = LARGE_ANSWER_BYTES.to_string();
    let sending = (0..LARGE_CALLERS).map(|_| async {
        let mut caller = RawConnection::open_with_small_buffer(to).await;
        let extra = [("X-Answer-Bytes", size.as_str())];
        let id = new_request_id();
        assert!(caller.write("/lookup/a", &id, &extra).await);
        caller
    });
    let callers = join_all(sending).await;
    wait_until(TIMEOUT, "the answers", || async {
        count_ended(&site).await >= before + LARGE_CALLERS as u64
    })
    .await
    .expect("each request is answered");
    check_small_requests(&site, to).await;
    check_peak(&site);
    drop(callers);
    await_unused(&site, "answers").await;
}

/// Guards against heads that together fill the memory, each within its limit.
#[tokio::test(flavor = "multi_thread")]
async fn many_long_heads_at_once_do_not_fill_the_memory() {
    let site = start().await;
    let to = site.entries[0].caller_address();
    let long = format!(
        "{}X-Long: {}",
        head(to, "long"),
        "x".repeat(LONG_HEAD_BYTES)
    );
    let sending = (0..LONG_CALLERS).map(|_| async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        // A connection that has no room is closed while its head is written.
        let _ = stream.write_all(long.as_bytes()).await;
        Some(stream)
    });
    let sending = iter(sending).buffer_unordered(CONNECTS);
    let callers = tokio::time::timeout(TIMEOUT, sending.collect::<Vec<_>>()).await;
    let callers = callers.expect("each head is taken or refused");
    let usual = "x".repeat(USUAL_HEADER_BYTES);
    for _ in 0..SMALL_REQUESTS {
        let id = new_request_id();
        let extra = [("x-usual", usual.as_str())];
        let sent = site
            .send_request(to, Method::POST, "/lookup/a", &id, &extra)
            .await;
        assert_eq!(sent.map(|(status, _)| status), Ok(200), "{id}");
    }
    check_peak(&site);
    drop(callers);
    await_unused(&site, "heads").await;
}

/// Guards against events that wait for callers which do not read.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_not_read_do_not_fill_the_memory() {
    let site = Site::start_with(Layout {
        memory_mb: Some(MACHINE_BYTES / 1_000_000),
        events: STREAM_EVENTS,
        ..Layout::default()
    })
    .await;
    site.adopt_config_with(|spec| {
        for service in spec["services"].as_array_mut().into_iter().flatten() {
            service["max_connections"] = (10 * STREAM_CALLERS).into();
            if service.get("engine").is_some() {
                service["engine"]["slots"] = (10 * STREAM_CALLERS).into();
            }
        }
    })
    .await;
    let to = site.entries[0].caller_address();
    let size = LARGE_EVENT_BYTES.to_string();
    let sending = (0..STREAM_CALLERS).map(|n| {
        let extra = [
            ("X-Answer-Bytes", size.as_str()),
            ("X-Token-Usage", "100,20"),
        ];
        async move {
            let mut caller = RawConnection::open_with_small_buffer(to).await;
            let path = format!("/draft/{n}");
            assert!(caller.write(&path, &new_request_id(), &extra).await);
            caller
        }
    });
    let callers: Vec<_> = iter(sending).buffer_unordered(CONNECTS).collect().await;
    tokio::time::sleep(STREAM_TIME).await;
    check_peak(&site);
    drop(callers);
}
