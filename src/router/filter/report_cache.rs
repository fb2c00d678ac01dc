//! What endpoints answer when streams through them pause.
//!
//! Many streams through one endpoint pause at the same moment; they share one
//! question, since each is priced.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::{BodyExt, Full};
use parking_lot::Mutex;
use pistachioyard_platform::{LoadOrder, decode_report};
use pistachioyard_policy::{EndpointRecord, EndpointReport};

use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_client::{EndpointClient, Reuse};

/// How old a report may be to be shared.
const SHARED_FOR: Duration = Duration::from_millis(150);
/// How long an endpoint may take to answer; a sound one answers in a few ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The change of an endpoint's slowdown that is worth a line.
const LOGGED_SLOWDOWN: f64 = 0.2;

/// How long an endpoint may take to accept a connection until it counts as dead; a sound
/// one takes a few ms, and callers accept no pause of much more than this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

/// The newest answer of an endpoint and when it came.
type Newest<T> = Arc<tokio::sync::Mutex<Option<(Instant, T)>>>;

/// Answers that many requests wait for at the same moment.
struct Shared<T> {
    cells: Mutex<HashMap<SocketAddr, Newest<T>>>,
}

impl<T> Default for Shared<T> {
    fn default() -> Self {
        Self {
            cells: Mutex::default(),
        }
    }
}

impl<T: Clone> Shared<T> {
    /// Returns a fresh answer; asks for it if nobody has just done so.
    async fn get(&self, to: SocketAddr, ask: impl Future<Output = T>) -> T {
        let cell = self.cells.lock().entry(to).or_default().clone();
        let mut newest = cell.lock().await;
        if let Some((at, answer)) = &*newest
            && at.elapsed() < SHARED_FOR
        {
            return answer.clone();
        }
        let answer = ask.await;
        *newest = Some((Instant::now(), answer.clone()));
        answer
    }
}

/// The newest answers of each endpoint.
#[derive(Default)]
pub(crate) struct ReportCache {
    reports: Shared<Option<Arc<EndpointReport>>>,
    probes: Shared<bool>,
}

impl ReportCache {
    /// Returns a fresh report of an endpoint; none if it does not answer.
    pub(crate) async fn get(
        &self,
        client: &EndpointClient,
        to: SocketAddr,
    ) -> Option<Arc<EndpointReport>> {
        let asked = async {
            let report = tokio::time::timeout(REPORT_TIMEOUT, ask(client, to)).await;
            report.ok().and_then(Result::ok).map(Arc::new)
        };
        self.reports.get(to, asked).await
    }

    /// Tells whether an endpoint accepts a connection soon.
    pub(crate) async fn is_alive(&self, client: &EndpointClient, to: SocketAddr) -> bool {
        let probe = async {
            let reached = tokio::time::timeout(PROBE_TIMEOUT, client.is_reachable(to)).await;
            reached.unwrap_or(false)
        };
        self.probes.get(to, probe).await
    }
}

/// Asks an endpoint for its state.
pub(crate) async fn ask(
    client: &EndpointClient,
    to: SocketAddr,
) -> Result<EndpointReport, CallError> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = http::Uri::from_static(LoadOrder::REPORT_PATH);
    if let Ok(host) = http::HeaderValue::from_str(&to.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let (response, connection) = client.send(to, req, Reuse::Allowed).await?;
    let body = response.into_body().collect().await;
    let body = body.map_err(|_| CallError::AnswerLost { to })?.to_bytes();
    client.keep(connection, None);
    decode_report(&body).map_err(|e| CallError::Malformed {
        to,
        why: e.to_string(),
    })
}

/// Asks endpoints how they stand and notes what they say.
pub(crate) async fn survey(router: Arc<Router>, endpoints: Vec<EndpointRecord>) {
    let asked = endpoints.iter().map(|record| async {
        let report = router.reports.get(&router.client, record.address).await?;
        let before = record.state.slowdown;
        if (report.slowdown - before).abs() > LOGGED_SLOWDOWN {
            spdlog::info!("endpoints: runs at another pace", kv: {
                endpoint = record.endpoint.as_str(), slowdown = report.slowdown, before
            });
            router.endpoints_changed.notify_one();
        }
        let now = Instant::now();
        let mut book = router.endpoints.lock();
        book.apply_report(&record.endpoint, (*report).clone(), now);
        Some(())
    });
    join_all(asked).await;
}
