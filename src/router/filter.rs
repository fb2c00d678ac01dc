//! The chain of filters that each request passes: identify, read the body, check the
//! quarantine, dispatch, record the result.
//!
//! A filter ends a request early with a [`Problem`]. `docs/design/operators-platform.md`
//! shows the chain.

mod admit;
mod body;
mod crash_check;
mod identify;
mod part_trial;
mod path;
mod plain;
mod record;
mod relay;
mod report_cache;
mod stream;

use std::net::SocketAddr;
use std::sync::OnceLock;

use bytes::Bytes;
pub(crate) use crash_check::{RunJudgement, judge_run};
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use pistachioyard_platform::CallerHead;
use pistachioyard_policy::{Repeatability, Route, Workspace};
use pistachioyard_wire::RequestDigest;
pub(crate) use report_cache::{
    ReportCache, fetch as fetch_report, fetch_with as fetch_report_with, survey,
};

use crate::lifecycle::{InFlight, stopping};
use crate::memory::HeldMemory;
use crate::prelude::*;
use crate::router::admission::WorkspaceUse;
use crate::router::answer::{self, AnswerBody};
use crate::router::quarantine::SuspectAdmission;
use crate::router::{ActiveConfig, Router, relay_hop};
use record::Record;

/// Holds a request that may be dispatched.
pub(crate) struct Call {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) path_and_query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The address of the caller, or of the peer that has passed it on.
    pub(crate) caller: SocketAddr,
    pub(crate) config: ActiveConfig,
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) arrived_at: Instant,
    /// When the caller's deadline or the route's timeout passes, whichever is first.
    pub(crate) deadline: Instant,
    /// Identifies the request's content, to recognise a request that crashes endpoints.
    pub(crate) digest: RequestDigest,
    /// Whether a peer has passed it on to this entry.
    pub(crate) is_relayed: bool,
    /// Whether it runs as a trial after it has crashed endpoints.
    pub(crate) is_trial: bool,
    /// Counts it as in progress for its workspace, once it was admitted and competes with others.
    pub(crate) in_progress: OnceLock<Option<WorkspaceUse>>,
    /// The memory that its headers take beside their text.
    _header_memory: HeldMemory,
}

impl Call {
    /// Returns the time until the deadline, or `None` if it has passed.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Returns the number of endpoints that may run the request for this entry. For one that was
    /// passed on, the peer counts the attempts.
    pub(crate) fn max_attempts(&self) -> u32 {
        match self.is_relayed {
            true => 1,
            false => self.route.max_attempts,
        }
    }

    /// Returns the priority to send to the endpoint; the workspace's overrides the route's.
    pub(crate) fn urgency(&self) -> u8 {
        let workspace_priority = self.workspace.as_ref().and_then(|w| w.priority);
        workspace_priority.unwrap_or(self.route.priority)
    }
}

/// Serves one request of a caller, from its filters to its response.
pub(crate) async fn serve(router: Arc<Router>, req: Request<Incoming>) -> Response<AnswerBody> {
    answer_filtered(&router, req, false).await
}

/// Serves a request that a peer has passed on, since it does not reach the endpoints.
pub(crate) async fn serve_relayed(
    router: Arc<Router>,
    mut req: Request<Incoming>,
) -> Response<AnswerBody> {
    let refused = match relay_hop::take_mark(req.headers_mut()) {
        Some(required) => router.check_relayed(required),
        None => Ok(()),
    };
    match refused {
        Ok(()) => answer_filtered(&router, req, true).await,
        Err(problem) => {
            let mut response = answer::problem(&problem);
            relay_hop::mark_not_sent(response.headers_mut());
            response
        }
    }
}

async fn answer_filtered(
    router: &Arc<Router>,
    req: Request<Incoming>,
    is_relayed: bool,
) -> Response<AnswerBody> {
    let arrived_at = Instant::now();
    let mut record = Record::new(arrived_at);
    match run_filters(router, req, arrived_at, is_relayed, &mut record).await {
        Ok(response) => response,
        Err(problem) => {
            record.end_refused(&problem);
            let mut response = answer::problem(&problem);
            if is_relayed && record.sends() == 0 {
                relay_hop::mark_not_sent(response.headers_mut());
            }
            response
        }
    }
}

async fn run_filters(
    router: &Arc<Router>,
    req: Request<Incoming>,
    arrived_at: Instant,
    is_relayed: bool,
    record: &mut Record,
) -> Result<Response<AnswerBody>, Problem> {
    let in_flight = router.lifecycle.begin()?;
    if !is_relayed {
        identify::check_head(router, &req)?;
    }
    let mut call = identify::identify(router, req, arrived_at, record).await?;
    call.is_relayed = is_relayed;
    // It could be cut off, and its caller could not send it again.
    if call.route.repeatability == Repeatability::AtMostOnce
        && router.lifecycle.ends_before(call.deadline)
    {
        return Err(stopping());
    }
    router.wait_for_first_news().await;
    check_quarantine(router, &mut call)?;
    dispatch(router, call, in_flight, record).await
}

/// Refuses a request that is quarantined because it, or a part of its prompt, crashed the
/// endpoints that ran it.
fn check_quarantine(router: &Router, call: &mut Call) -> Result<(), Problem> {
    if let Some(problem) = router.check_parts(&call.head.prompt_parts) {
        return Err(problem);
    }
    let admission = router.admit_suspect(call.digest);
    call.is_trial = admission == SuspectAdmission::Trial;
    match admission {
        SuspectAdmission::Free | SuspectAdmission::Trial => Ok(()),
        SuspectAdmission::Refused { retry_after } => Err(crashes_endpoints(retry_after)),
    }
}

/// Does the same right before the request is sent, since it may have waited.
fn check_before_send(router: &Router, call: &Call) -> Result<(), Problem> {
    if let Some(problem) = router.check_parts(&call.head.prompt_parts) {
        return Err(problem);
    }
    match router.hold_since_admission(call.digest, call.is_trial) {
        Some(retry_after) => Err(crashes_endpoints(retry_after)),
        None => Ok(()),
    }
}

fn crashes_endpoints(retry_after: Duration) -> Problem {
    let detail = "the request has crashed the endpoints that ran it; it was not run again";
    let problem = Problem::new(ProblemKind::Quarantined, Outcome::NotRun, detail);
    quarantined(problem, retry_after)
}

/// Completes the problem for a request that is quarantined and was not run.
pub(crate) fn quarantined(mut problem: Problem, retry_after: Duration) -> Problem {
    // On this platform only 408, 421, 429 and 503 tell a caller that nothing ran.
    problem.status = 429;
    problem.with_retry_after_ms(super::log::ms(retry_after))
}

async fn dispatch(
    router: &Arc<Router>,
    call: Call,
    in_flight: InFlight,
    record: &mut Record,
) -> Result<Response<AnswerBody>, Problem> {
    let Some(service) = call.route.pick_service(&mut rand::rng()).cloned() else {
        return Err(no_capacity(
            "the route has no service to send the request to",
            1_000,
        ));
    };
    record.set_service(&service);
    // The peer that passed it on has counted it.
    if !call.is_relayed {
        router.count_first_try(&service);
        router.note_arrival(&call, &service);
    }
    if call.route.is_stream {
        stream::dispatch(router, call, &service, in_flight, record).await
    } else {
        plain::dispatch(router, &call, &service, record).await
    }
}

/// Creates the problem for a request that was not run because nothing can run it now.
pub(crate) fn no_capacity(detail: impl Into<String>, retry_after_ms: u64) -> Problem {
    Problem::new(ProblemKind::NoCapacity, Outcome::NotRun, detail)
        .with_retry_after_ms(retry_after_ms)
}

/// Creates the problem for a request whose deadline passed before its answer arrived.
pub(crate) fn deadline_passed(detail: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::DeadlinePassed, Outcome::Unknown, detail)
}

/// Creates the problem for a request that was sent and whose answer was lost.
pub(crate) fn result_lost(detail: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::ResultLost, Outcome::Unknown, detail)
}
