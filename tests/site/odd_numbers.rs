//! Numbers of endpoints and of the configuration that are far from the usual ones.

use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::caller::new_request_id;
use super::layout::Layout;
use super::odd_answers::{bind, read_request, register_as};
use super::raw::{Exchange, RawConnection};
use super::support::{Endpoint, Site};

/// The longest times for which a connection may be kept, in seconds: the last one that an
/// `Instant` can be moved by, the first that it cannot, and the largest.
const IDLE_LIMITS_S: [u64; 3] = [u64::MAX / 4, i64::MAX as u64, u64::MAX];
/// How long a placement may take; a load takes 40 ms.
const PLACEMENT_LIMIT: Duration = Duration::from_secs(10);

/// Asserts that no task of the first entry has panicked.
pub(super) async fn assert_no_panic(site: &Site) {
    let metrics = site.fetch_metrics(&site.entries[0]).await;
    let panics = metrics.lines().find(|l| l.starts_with("router_panics"));
    assert_eq!(panics, Some("router_panics_total 0"));
}

async fn keep_alive_for(mut stream: TcpStream, seconds: u64) {
    while let Some((path, id)) = read_request(&mut stream).await {
        let answer = match path.as_str() {
            "/report" => "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned(),
            _ => format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: s\r\n\
                 Keep-Alive: timeout={seconds}\r\nContent-Length: 2\r\n\r\nok"
            ),
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn serve_keep_alive(listener: TcpListener, seconds: u64) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(keep_alive_for(stream, seconds));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_keeps_connections_for_ever_costs_no_answer() {
    for seconds in IDLE_LIMITS_S {
        let site = Site::start_with(Layout {
            plain_endpoints: 0,
            ..Layout::default()
        })
        .await;
        let (listener, address) = bind().await;
        tokio::spawn(serve_keep_alive(listener, seconds));
        register_as(&site, "patient", address).await;
        let to = site.entries[0].caller_address();
        wait_until(PLACEMENT_LIMIT, "the endpoint", || async {
            let id = new_request_id();
            let lookup = site.send_request(to, Method::POST, "/lookup/a", &id, &[]);
            !matches!(lookup.await, Ok((404 | 503, _)))
        })
        .await
        .expect("the entry uses the endpoint");
        for path in ["/lookup/a", "/record/a"] {
            let mut connection = RawConnection::open(to).await;
            assert!(connection.write(path, &new_request_id(), &[]).await);
            let answer = connection.read().await;
            let expected = Exchange::Complete(200, b"ok".to_vec());
            assert_eq!(answer, expected, "{path}, kept for {seconds} s");
        }
        assert_no_panic(&site).await;
    }
}

/// Returns whether an endpoint holds layers.
async fn holds_layers(site: &Site, endpoint: &Endpoint) -> bool {
    let report = site
        .client
        .send(Method::GET, endpoint.address, "/report", &[], "".into())
        .await;
    let report = report.map(|answer| serde_json::from_slice::<Value>(&answer.body));
    matches!(report, Ok(Ok(report)) if !report["layers"].is_null())
}

/// Starts endpoints again one by one, and waits until each holds layers.
async fn restart_engines(site: &mut Site) {
    for at in 0..site.endpoints.len() {
        if site.endpoints[at].is_plain {
            continue;
        }
        site.endpoints[at].process.start(&site.launcher);
        let endpoint = &site.endpoints[at];
        wait_until(PLACEMENT_LIMIT, "layers", || holds_layers(site, endpoint))
            .await
            .expect("the endpoint is given layers");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_goes_on_after_a_model_has_lost_layers() {
    let mut site = Site::start(1).await;
    site.adopt_config_with(|config| {
        config["services"][0]["engine"]["layers"] = json!(4);
    })
    .await;
    restart_engines(&mut site).await;
    assert_no_panic(&site).await;
}

/// Returns how many configurations an entry has judged.
fn judged_configurations(site: &Site) -> usize {
    let log = site.entries[0].process.log();
    log.matches("config: adopted").count() + log.matches("config: rejected").count()
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_goes_on_after_a_configuration_with_an_odd_load_time() {
    let mut site = Site::start(1).await;
    for load_s in [-1.0, 1e300] {
        let judged = judged_configurations(&site);
        let applied = site
            .apply_config_with(|config| {
                config["services"][0]["engine"]["models"][0]["load_s"] = json!(load_s);
            })
            .await;
        assert!(applied, "the store accepts the configuration");
        let is_judged = || async { judged_configurations(&site) > judged };
        wait_until(PLACEMENT_LIMIT, "the configuration", is_judged)
            .await
            .expect("the entry reads the configuration");
        restart_engines(&mut site).await;
    }
    assert_no_panic(&site).await;
}
