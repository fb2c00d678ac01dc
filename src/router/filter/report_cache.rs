//! Caches the reports of endpoints and the results of probes for streams that pause.
//!
//! Many streams through one endpoint pause at the same moment. They share one request to it,
//! since each request has a cost.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use http_body_util::Full;
use parking_lot::Mutex;
use pistachioyard_platform::{LoadOrder, decode_answer_head, decode_report};
use pistachioyard_policy::{EndpointRecord, EndpointReport, EndpointRun};

use crate::client::read_whole;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_answer::AnswerTo;
use crate::router::endpoint_client::{EndpointClient, MAX_REPORT_BYTES, Reuse};
use crate::router::peer_probe::Opinion;

/// The maximum age of an answer that is shared.
const MAX_SHARED_AGE: Duration = Duration::from_millis(150);
/// How long an endpoint may take to report; a healthy one answers within a few ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// The smallest change of an endpoint's slowdown that is logged.
const MIN_LOGGED_SLOWDOWN_CHANGE: f64 = 0.2;

/// How long an endpoint may take to accept a connection before it counts as dead. A healthy
/// one takes a few ms, and callers accept no pause that is much longer than this.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

/// Holds the newest answer of an endpoint and the time of its arrival.
type CachedAnswer<T> = Arc<tokio::sync::Mutex<Option<(Instant, T)>>>;

/// Shares each endpoint's answer among the requests that wait for it at the same moment.
struct SharedAnswers<T> {
    by_address: Mutex<HashMap<SocketAddr, CachedAnswer<T>>>,
}

impl<T> Default for SharedAnswers<T> {
    fn default() -> Self {
        Self {
            by_address: Mutex::default(),
        }
    }
}

impl<T: Clone> SharedAnswers<T> {
    /// Returns the cached answer of an endpoint if it is recent, and awaits `request` otherwise.
    async fn get(&self, to: SocketAddr, request: impl Future<Output = T>) -> T {
        let cached = self.by_address.lock().entry(to).or_default().clone();
        let mut newest = cached.lock().await;
        if let Some((at, answer)) = &*newest
            && at.elapsed() < MAX_SHARED_AGE
        {
            return answer.clone();
        }
        let answer = request.await;
        *newest = Some((Instant::now(), answer.clone()));
        answer
    }
}

/// Caches the newest report and probe result of each endpoint.
#[derive(Default)]
pub(crate) struct ReportCache {
    reports: SharedAnswers<Option<Arc<EndpointReport>>>,
    probes: SharedAnswers<bool>,
    opinions: SharedAnswers<Opinion>,
}

impl ReportCache {
    /// Returns a recent report of an endpoint, or `None` if it does not answer in time.
    pub(crate) async fn get(
        &self,
        router: &Router,
        endpoint: &EndpointId,
        to: SocketAddr,
    ) -> Option<Arc<EndpointReport>> {
        let asked = async {
            let report = fetch(router, endpoint, to, REPORT_TIMEOUT).await;
            report.ok().map(Arc::new)
        };
        self.reports.get(to, asked).await
    }

    /// Returns a recent opinion of a peer on an endpoint, and awaits `asked` if there is none.
    pub(crate) async fn opinion(
        &self,
        of: SocketAddr,
        asked: impl Future<Output = Opinion>,
    ) -> Opinion {
        self.opinions.get(of, asked).await
    }

    /// Returns whether an endpoint accepts a connection within the probe timeout, or this host
    /// cannot ask it.
    pub(crate) async fn is_alive(&self, client: &EndpointClient, to: SocketAddr) -> bool {
        let probe = async {
            let connected = tokio::time::timeout(PROBE_TIMEOUT, client.try_connect(to)).await;
            matches!(connected, Ok(Ok(()) | Err(CallError::Shortage { .. })))
        };
        self.probes.get(to, probe).await
    }
}

/// Requests the report of an endpoint, which may send it slowly or never.
pub(crate) async fn fetch(
    router: &Router,
    endpoint: &EndpointId,
    to: SocketAddr,
    timeout: Duration,
) -> Result<EndpointReport, CallError> {
    fetch_with(router, endpoint, to, timeout, Reuse::Allowed).await
}

/// Does the same as [`fetch`] on a new connection, if `reuse` says so.
pub(crate) async fn fetch_with(
    router: &Router,
    endpoint: &EndpointId,
    to: SocketAddr,
    timeout: Duration,
    reuse: Reuse,
) -> Result<EndpointReport, CallError> {
    let fetched = tokio::time::timeout(timeout, exchange(router, endpoint, to, reuse)).await;
    fetched.unwrap_or(Err(CallError::Timeout { to }))
}

async fn exchange(
    router: &Router,
    endpoint: &EndpointId,
    to: SocketAddr,
    reuse: Reuse,
) -> Result<EndpointReport, CallError> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = http::Uri::from_static(LoadOrder::REPORT_PATH);
    if let Ok(host) = http::HeaderValue::from_str(&to.to_string()) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let run = router.endpoints.lock().run_of(endpoint);
    let (response, connection) = router.client.send(to, req, reuse).await?;
    let head = decode_answer_head(response.status(), response.headers());
    if !head.may_answer(None) {
        return Err(CallError::AnswerLost { to });
    }
    router.note_answer(&run, &head, AnswerTo::Control);
    let body = read_whole(
        to,
        response.into_body(),
        MAX_REPORT_BYTES,
        &router.client.memory,
    )
    .await?;
    router.client.keep(connection, None);
    let report = decode_report(&body).map_err(|e| CallError::Malformed {
        to,
        why: e.to_string(),
    })?;
    if report.started_unix_ms != run.started_unix_ms {
        // The endpoint has restarted since its record was read.
        let run = EndpointRun {
            started_unix_ms: report.started_unix_ms,
            ..run
        };
        router.note_answer(&run, &head, AnswerTo::Control);
    }
    Ok(report)
}

/// Requests the reports of endpoints and applies them to the registry.
pub(crate) async fn survey(router: Arc<Router>, endpoints: Vec<EndpointRecord>) {
    let asked = endpoints.iter().map(|record| async {
        let report = router
            .reports
            .get(&router, &record.endpoint, record.address)
            .await?;
        let before = record.state.slowdown;
        if (report.slowdown - before).abs() > MIN_LOGGED_SLOWDOWN_CHANGE {
            spdlog::info!("endpoints: speed changed", kv: {
                endpoint = record.endpoint.as_str(), slowdown = report.slowdown, before
            });
            router.endpoints_changed.notify_one();
        }
        let now = Instant::now();
        let mut registry = router.endpoints.lock();
        registry.apply_report(&record.endpoint, (*report).clone(), now);
        Some(())
    });
    join_all(asked).await;
}
