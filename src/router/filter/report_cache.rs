//! Reports of endpoints, asked for when streams through them pause.
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

/// A report, or that none came.
type Shared = Option<(Instant, Option<Arc<EndpointReport>>)>;

/// The newest report of each endpoint.
#[derive(Default)]
pub(crate) struct ReportCache {
    reports: Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<Shared>>>>,
}

impl ReportCache {
    /// Returns a fresh report of an endpoint; none if it does not answer.
    pub(crate) async fn get(
        &self,
        client: &EndpointClient,
        to: SocketAddr,
    ) -> Option<Arc<EndpointReport>> {
        let cell = self.reports.lock().entry(to).or_default().clone();
        let mut shared = cell.lock().await;
        if let Some((at, report)) = &*shared
            && at.elapsed() < SHARED_FOR
        {
            return report.clone();
        }
        let asked = tokio::time::timeout(REPORT_TIMEOUT, ask(client, to)).await;
        let report = asked.ok().and_then(Result::ok).map(Arc::new);
        *shared = Some((Instant::now(), report.clone()));
        report
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
