//! The filter chain that every request passes.
//!
//! A generated answer passes identify, admit (which routes), dispatch, deliver
//! and record; an operation passes identify, claim, dispatch and record. Each
//! filter hands a checked value to the next or ends the request with a
//! [`Problem`](pistachioyard_wire::Problem). `docs/design/outcomes.md` lists what
//! is said at each place.

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

/// Serves a request for a generated answer.
///
/// Returns the events of the answer once the first of them is known, so that a
/// request that ran nowhere is refused with a status of its own.
pub(crate) async fn generate(
    node: &Arc<Node>,
    body: &[u8],
) -> Result<deliver::EventStream, Problem> {
    let answer = admit_and_start(node, body).await;
    answer.map_err(|problem| {
        if problem.outcome == Outcome::NotRun && is_resumed(body) {
            // A part of the request has run before, whatever is refused now.
            return Problem {
                outcome: Outcome::Failed,
                ..problem
            };
        }
        problem
    })
}

/// Tells whether a request goes on with an answer that has begun before; a resume
/// token that cannot be read proves nothing of the kind.
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

/// Takes a request through the filters before dispatch.
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

/// Serves an operation on a plain service.
pub(crate) async fn operate(
    node: &Arc<Node>,
    raw: RawOperation<'_>,
) -> Result<OperationOutcome, Problem> {
    let workspace = raw.workspace;
    let ended = operate::operate(node, raw).await;
    record::operation_ended(node, workspace, ended.as_ref());
    ended
}
