//! Heads of requests on connections that are older than the limit in force.

use std::time::{Duration, Instant};

use pistachioyard_standins::wait_until;

use super::caller::new_request_id;
use super::raw::{Exchange, RawConnection};
use super::support::{KEY, Site};

/// The limit for heads in the configuration of a site.
const MAX_HEADER_BYTES: usize = 16_384;
/// How long an entry may take to start, and to adopt a configuration.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a request with a header of this size and returns the status of its answer.
async fn send(connection: &mut RawConnection, header_bytes: usize) -> Option<u16> {
    let long = "x".repeat(header_bytes);
    let id = new_request_id();
    let extra = [("X-Long", long.as_str())];
    assert!(connection.write("/lookup/a", &id, &extra).await);
    match connection.read().await {
        Exchange::Complete(status, _) => Some(status),
        Exchange::Cut(_) => None,
    }
}

/// Guards against the limit of a process that has no configuration yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_from_before_the_first_configuration_takes_long_heads() {
    let mut site = Site::start(1).await;
    site.set_store_fault(503).await;
    let launcher = site.launcher.clone();
    site.entries[0].process.start(&launcher);
    let to = site.entries[0].caller_address();
    let give_up_at = Instant::now() + START_TIMEOUT;
    let mut kept = loop {
        match RawConnection::try_open(to).await {
            Some(connection) => break connection,
            None => assert!(Instant::now() < give_up_at, "the entry does not accept"),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    };
    // The connection is accepted and served before there is a configuration.
    assert_eq!(send(&mut kept, 10).await, Some(503));
    site.set_store_fault(0).await;
    wait_until(START_TIMEOUT, "the entry", || async {
        site.check_plain(to, "/lookup/a").await.result.is_ok()
    })
    .await
    .expect("the entry serves requests");
    assert_eq!(send(&mut kept, 12_000).await, Some(200));
}

/// Guards against the limit that was in force when the connection was opened.
#[tokio::test(flavor = "multi_thread")]
async fn the_limit_for_heads_in_force_applies_to_open_connections() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let mut kept = RawConnection::open(to).await;
    assert_eq!(send(&mut kept, 17_000).await, Some(431));
    let mut kept = RawConnection::open(to).await;
    assert_eq!(send(&mut kept, 10).await, Some(200));
    site.adopt_config_with(|spec| spec["limits"]["max_header_bytes"] = 32_768.into())
        .await;
    assert_eq!(send(&mut kept, 17_000).await, Some(200));
    assert_eq!(send(&mut kept, 33_000).await, Some(431));
}

/// Guards against connections whose buffers are smaller than the limit in force, and which refuse
/// heads within it.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_cannot_take_heads_within_the_limit_are_closed() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let mut kept = RawConnection::open(to).await;
    assert_eq!(send(&mut kept, 10).await, Some(200));
    site.adopt_config_with(|spec| spec["limits"]["max_header_bytes"] = 131_072.into())
        .await;
    let id = new_request_id();
    let long = "x".repeat(100_000);
    // The connection is closed by now, or takes the head.
    let _ = kept.write("/lookup/a", &id, &[("X-Long", &long)]).await;
    match kept.read().await {
        Exchange::Complete(status, _) => assert_eq!(status, 200),
        Exchange::Cut(_) => {}
    }
    let mut new = RawConnection::open(to).await;
    assert_eq!(send(&mut new, 100_000).await, Some(200));
}

/// Guards against heads that are refused for the number of their headers, which no limit bounds.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_within_the_limit_may_have_many_headers() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let mut kept = RawConnection::open(to).await;
    for count in [101, 1_500] {
        let names: Vec<String> = (0..count).map(|n| format!("x{n}")).collect();
        let extra: Vec<(&str, &str)> = names.iter().map(|name| (name.as_str(), "1")).collect();
        let id = new_request_id();
        assert!(kept.write("/lookup/a", &id, &extra).await);
        match kept.read().await {
            Exchange::Complete(status, _) => assert_eq!(status, 200, "{count} headers"),
            Exchange::Cut(text) => panic!("{count} headers: {text}"),
        }
    }
}

/// Guards against a head that is refused though it is as long as the limit allows, since its
/// headers are written without the usual space.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_as_long_as_the_limit_is_taken() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    let id = new_request_id();
    let mut head = format!(
        "GET /lookup/a HTTP/1.1\r\nHost:{to}\r\nX-Attempt-Id:{id}\r\n\
         Authorization:Bearer {KEY}\r\nX-Deadline-Ms:8000\r\n"
    );
    for n in 0..50 {
        head.push_str(&format!("x{n}:1\r\n"));
    }
    let rest = MAX_HEADER_BYTES - head.len() - "X-Long:\r\n\r\n".len();
    head.push_str(&format!("X-Long:{}\r\n\r\n", "x".repeat(rest)));
    assert_eq!(head.len(), MAX_HEADER_BYTES);
    let mut connection = RawConnection::open(to).await;
    assert!(connection.write_text(&head).await);
    let answer = connection.read().await;
    assert!(matches!(answer, Exchange::Complete(200, _)), "{answer:?}");
}
