//! Connections that callers keep while the idle limit changes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use pistachioyard_standins::wait_until;
use serde_json::json;
use tokio::time::Instant;

use super::{ONE_PATH, start_site};
use crate::caller::new_request_id;
use crate::raw::{Exchange, RawConnection};
use crate::support::Site;

/// The shorter idle limit.
const SHORT_LIMIT: Duration = Duration::from_secs(1);
/// The longer idle limit.
const LONG_LIMIT: Duration = Duration::from_secs(4);
/// The share of the idle limit within which callers use a connection again.
const REUSE_SHARE: f64 = 0.8;
/// The number of connections of each kind.
const CONNECTIONS: usize = 20;
/// How long requests are sent one after the other.
const SENDING_TIME: Duration = Duration::from_secs(3);
/// The number of requests that cross the close of their connections.
const CROSSING_REQUESTS: u32 = 300;
/// The span around the idle limit in which those requests are sent.
const CROSSING_SPAN: Duration = Duration::from_millis(60);

/// Applies a version with this limit for idle connections and slow heads.
async fn set_idle_limit(site: &Site, limit: Duration) {
    let ms = limit.as_millis() as u64;
    site.adopt_config_with(|spec| {
        spec["limits"]["idle_timeout_ms"] = json!(ms);
        spec["limits"]["header_timeout_ms"] = json!(ms);
    })
    .await;
}

async fn open_used_connections(site: &Site) -> Vec<RawConnection> {
    let to = site.entries[0].caller_address();
    join_all((0..CONNECTIONS).map(|_| async {
        let mut connection = RawConnection::open(to).await;
        let answered = request(&mut connection, &new_request_id()).await;
        assert!(
            matches!(answered, Exchange::Complete(200, _)),
            "{answered:?}"
        );
        connection
    }))
    .await
}

async fn request(connection: &mut RawConnection, id: &str) -> Exchange {
    if !connection.write("/record/a", id, &[]).await {
        return Exchange::Cut("the connection was closed before the request".to_owned());
    }
    connection.read().await
}

/// Sends a request on each connection and checks that all of them are answered.
async fn check_all_answered(connections: Vec<RawConnection>) {
    let answers =
        join_all(connections.into_iter().map(|mut connection| async move {
            request(&mut connection, &new_request_id()).await
        }))
        .await;
    let cut: Vec<&Exchange> = answers
        .iter()
        .filter(|answer| !matches!(answer, Exchange::Complete(200, _)))
        .collect();
    assert!(
        cut.is_empty(),
        "{} of {CONNECTIONS} requests on kept connections had no answer; first: {:?}",
        cut.len(),
        cut[0],
    );
}

/// Sends one request after the other on a connection, and opens another one when it closes,
/// until the time is over or the entry accepts no more.
pub(super) async fn keep_sending(to: SocketAddr, until: Instant) -> Vec<(String, Exchange)> {
    let mut exchanges = Vec::new();
    while let Some(mut connection) = RawConnection::try_open(to).await {
        loop {
            if Instant::now() >= until {
                return exchanges;
            }
            let id = new_request_id();
            let exchange = request(&mut connection, &id).await;
            let is_cut = matches!(exchange, Exchange::Cut(_));
            exchanges.push((id, exchange));
            if is_cut {
                break;
            }
        }
    }
    exchanges
}

/// Requests on kept connections are cut off while versions with other limits are adopted.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_kept_connections_are_answered_beside_versions() {
    let site = start_site(ONE_PATH).await;
    set_idle_limit(&site, LONG_LIMIT).await;
    let to = site.entries[0].caller_address();
    let until = Instant::now() + SENDING_TIME;
    let sent = join_all((0..CONNECTIONS).map(|_| keep_sending(to, until)));
    let versions = async {
        while Instant::now() < until {
            set_idle_limit(&site, SHORT_LIMIT).await;
            set_idle_limit(&site, LONG_LIMIT).await;
        }
    };
    let (sent, ()) = tokio::join!(sent, versions);
    let mut exchanges = sent.iter().flatten();
    let cut = exchanges.find(|(_, exchange)| matches!(exchange, Exchange::Cut(_)));
    assert_eq!(cut, None);
}

/// A connection from before a longer idle limit is closed by the older limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_from_before_a_longer_idle_limit_is_served_within_the_new_limit() {
    let site = start_site(ONE_PATH).await;
    set_idle_limit(&site, SHORT_LIMIT).await;
    let connections = open_used_connections(&site).await;
    set_idle_limit(&site, LONG_LIMIT).await;
    tokio::time::sleep(LONG_LIMIT.mul_f64(REUSE_SHARE)).await;
    check_all_answered(connections).await;
}

/// A connection from before a shorter idle limit is closed too early.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_from_before_a_shorter_idle_limit_is_served_within_the_new_limit() {
    let site = start_site(ONE_PATH).await;
    set_idle_limit(&site, LONG_LIMIT).await;
    let connections = open_used_connections(&site).await;
    set_idle_limit(&site, SHORT_LIMIT).await;
    tokio::time::sleep(SHORT_LIMIT.mul_f64(REUSE_SHARE)).await;
    check_all_answered(connections).await;
}

/// A request that crosses the close of its idle connection is passed on and not answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crosses_an_idle_close_is_answered_or_not_passed_on() {
    let site = start_site(ONE_PATH).await;
    set_idle_limit(&site, SHORT_LIMIT).await;
    let to = site.entries[0].caller_address();
    let earliest = SHORT_LIMIT - CROSSING_SPAN / 2;
    let exchanges = join_all((0..CROSSING_REQUESTS).map(|n| async move {
        let mut connection = RawConnection::open(to).await;
        let first = request(&mut connection, &new_request_id()).await;
        assert!(matches!(first, Exchange::Complete(200, _)), "{first:?}");
        tokio::time::sleep(earliest + CROSSING_SPAN * n / CROSSING_REQUESTS).await;
        let id = new_request_id();
        let exchange = request(&mut connection, &id).await;
        (id, exchange)
    }))
    .await;
    let runs = site.count_runs().await;
    let is_cut = |exchange: &Exchange| matches!(exchange, Exchange::Cut(_));
    let cut = exchanges.iter().filter(|(_, exchange)| is_cut(exchange));
    println!(
        "kept: {} of {CROSSING_REQUESTS} crossed a close",
        cut.clone().count()
    );
    let lost: Vec<_> = cut.filter(|(id, _)| runs.contains_key(id)).collect();
    assert!(lost.is_empty(), "ran and had no answer: {lost:?}");
}

/// Half a head keeps its connection open for ever, and each stop until the end of the grace
/// period.
#[tokio::test(flavor = "multi_thread")]
async fn half_a_head_holds_neither_its_connection_nor_a_stop() {
    let mut site = start_site(ONE_PATH).await;
    let to = site.entries[0].caller_address();
    set_idle_limit(&site, SHORT_LIMIT).await;
    let mut connection = RawConnection::open(to).await;
    assert!(connection.write_half_head().await);
    let ended = tokio::time::timeout(SHORT_LIMIT * 3, connection.read()).await;
    assert!(matches!(ended, Ok(Exchange::Cut(_))), "{ended:?}");

    set_idle_limit(&site, LONG_LIMIT * 10).await;
    let mut connection = RawConnection::open(to).await;
    assert!(connection.write_half_head().await);
    let entry = &mut site.entries[0].process;
    entry.signal(nix::sys::signal::Signal::SIGTERM);
    // New requests are accepted for 2.5 s; the grace period is 4 s.
    let stopped = wait_until(Duration::from_millis(3_400), "the entry to exit", || {
        let is_running = entry.is_running();
        async move { !is_running }
    });
    stopped.await.expect("half a head does not hold the stop");
}
