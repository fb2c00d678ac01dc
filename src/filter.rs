//! Implements the chain of filters that handles every request.
//!
//! A generate request passes identify, suspect, admit (which also routes), dispatch, deliver
//! and record. An operation passes identify, claim (only if it is not idempotent), operate
//! (which sends the call) and record. Each filter passes a validated value to the next one or
//! ends the request with a [`Problem`](pistachioyard_wire::Problem); suspect only lets the
//! request through or ends it. `docs/design/outcomes.md` lists the outcome that is reported at
//! each point.

mod admit;
mod claim;
mod deliver;
mod dispatch;
mod follow;
mod grant;
mod identify;
mod operate;
mod record;
mod recover;
mod route;
mod suspect;

pub(crate) use admit::Admission;
pub(crate) use deliver::event_body;
pub(crate) use grant::Grant;
pub(crate) use identify::{
    GenerateContext, RawOperation, bad_request, identify_generate, identify_operation,
};
pub(crate) use operate::recorded_outcome;
pub(crate) use record::{generate_refused, operation_refused};
pub(crate) use route::RouteQuery;

use pistachioyard_wire::{GenerateRequest, OperationOutcome, ResumeToken};

use crate::lifecycle::InFlight;
use crate::prelude::*;

/// Serves a generate request.
///
/// Returns the event stream once its first event is known, so that a request that ran nowhere
/// is refused with an HTTP status of its own.
pub(crate) async fn generate(
    node: &Arc<Node>,
    body: &[u8],
) -> Result<deliver::EventStream, Problem> {
    let answer = admit_and_start(node, body).await;
    answer.map_err(|problem| {
        if problem.outcome == Outcome::NotRun && is_resumed(body) {
            // A part of the request ran before it was resumed, so "not run" would be wrong.
            return Problem {
                outcome: Outcome::Failed,
                ..problem
            };
        }
        problem
    })
}

/// Returns whether a request resumes an earlier answer.
///
/// A resume token that cannot be parsed does not count, since it proves no earlier attempt.
fn is_resumed(body: &[u8]) -> bool {
    serde_json::from_slice::<GenerateRequest>(body)
        .ok()
        .and_then(|req| req.resume)
        .is_some_and(|raw| ResumeToken::try_from(raw.as_str()).is_ok())
}

async fn admit_and_start(node: &Arc<Node>, body: &[u8]) -> Result<deliver::EventStream, Problem> {
    let arrived_at = Instant::now();
    match prepare(node, body, arrived_at).await {
        Ok((in_flight, cx, grant)) => dispatch::start(node, cx, grant, in_flight, arrived_at).await,
        Err(problem) => {
            generate_refused(node, body, &problem);
            Err(problem)
        }
    }
}

/// Runs the filters that come before dispatch.
async fn prepare(
    node: &Arc<Node>,
    body: &[u8],
    arrived_at: Instant,
) -> Result<(InFlight, GenerateContext, Grant), Problem> {
    let in_flight = node.lifecycle.begin()?;
    let cx = identify_generate(node, body)?;
    suspect::refuse_suspects(node, cx.call.digest)?;
    let grant = Admission::admit(node, &cx, arrived_at).await?;
    Ok((in_flight, cx, grant))
}

/// Serves an operation on a plain service, and records how it ended.
pub(crate) async fn operate(
    node: &Arc<Node>,
    raw: RawOperation<'_>,
) -> Result<OperationOutcome, Problem> {
    let workspace = raw.workspace;
    let ended = operate::operate(node, raw).await;
    record::operation_ended(node, workspace, ended.as_ref());
    ended
}
