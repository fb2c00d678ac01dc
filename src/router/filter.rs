//! The filters that a request passes: identify, read, hold back, dispatch, record.
//!
//! A filter ends a request early with a [`Problem`]. `docs/design/operators-platform.md`
//! shows the chain.

mod identify;
mod path;
mod plain;
mod record;
mod relay;
mod report_cache;
mod stream;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use pistachioyard_platform::CallerHead;
use pistachioyard_policy::{QuarantineVerdict, Route, Workspace};
use pistachioyard_wire::RequestDigest;
pub(crate) use report_cache::{ReportCache, ask as ask_report, survey};

use crate::lifecycle::InFlight;
use crate::prelude::*;
use crate::router::answer::{self, AnswerBody};
use crate::router::{ActiveConfig, Router};
use record::Record;

/// A request that may be dispatched.
pub(crate) struct Call {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) in_force: ActiveConfig,
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) arrived_at: Instant,
    /// When the caller's deadline or the route's timeout passes.
    pub(crate) end_at: Instant,
    /// What the request asks, so that one that crashes endpoints is recognised.
    pub(crate) digest: RequestDigest,
}

impl Call {
    /// Returns the time that is left; none if it is over.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let left = self.end_at.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Returns the rank to tell the endpoint; the workspace's goes before the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let of_workspace = self.workspace.as_ref().and_then(|w| w.priority);
        of_workspace.unwrap_or(self.route.priority)
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(router: Arc<Router>, req: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let mut record = Record::new(arrived_at);
    match pass(&router, req, arrived_at, &mut record).await {
        Ok(response) => response,
        Err(problem) => {
            record.refused(&problem);
            answer::problem(&problem)
        }
    }
}

async fn pass(
    router: &Arc<Router>,
    req: Request<Incoming>,
    arrived_at: Instant,
    record: &mut Record,
) -> Result<Response<AnswerBody>, Problem> {
    let in_flight = router.lifecycle.begin()?;
    let call = identify::identify(router, req, arrived_at, record).await?;
    hold_back(router, &call)?;
    router.retries.lock().on_first_try();
    dispatch(router, call, in_flight, record).await
}

/// Refuses a request that has crashed the endpoints that ran it.
fn hold_back(router: &Router, call: &Call) -> Result<(), Problem> {
    match router
        .quarantine
        .lock()
        .verdict(call.digest, Instant::now())
    {
        QuarantineVerdict::Clear | QuarantineVerdict::Suspect { .. } => Ok(()),
        QuarantineVerdict::Quarantined { retry_after } => {
            let detail = "the request has crashed the endpoints that ran it; it was not run again";
            let mut problem = Problem::new(ProblemKind::Quarantined, Outcome::NotRun, detail);
            // On this platform only 408, 421, 429 and 503 tell a caller that nothing ran.
            problem.status = 429;
            Err(problem.with_retry_after_ms(super::log::ms(retry_after)))
        }
    }
}

async fn dispatch(
    router: &Arc<Router>,
    call: Call,
    in_flight: InFlight,
    record: &mut Record,
) -> Result<Response<AnswerBody>, Problem> {
    let Some(service) = call.route.pick_service(&mut rand::rng()).cloned() else {
        return Err(no_capacity("the route leads to no service", 1_000));
    };
    record.sent_to(&service);
    if call.route.is_stream {
        stream::dispatch(router, call, &service, in_flight, record).await
    } else {
        plain::dispatch(router, &call, &service, record).await
    }
}

/// Says that a request was not run since nothing can run it now.
pub(crate) fn no_capacity(detail: impl Into<String>, retry_after_ms: u64) -> Problem {
    Problem::new(ProblemKind::NoCapacity, Outcome::NotRun, detail)
        .with_retry_after_ms(retry_after_ms)
}

/// Says that the time was over before the answer came.
pub(crate) fn deadline_passed(detail: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::DeadlinePassed, Outcome::Unknown, detail)
}

/// Says that a request was sent and its answer was lost.
pub(crate) fn result_lost(detail: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::ResultLost, Outcome::Unknown, detail)
}
