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
mod identify;
mod operate;
mod recover;
mod suspect;

pub(crate) use admit::{Admission, Grant, RouteQuery};
pub(crate) use deliver::event_body;
pub(crate) use identify::{
    GenerateContext, RawOperation, bad_request, identify_generate, identify_operation,
};
pub(crate) use operate::{operate, recorded_outcome};

use pistachioyard_wire::GenerateRequest;

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

fn is_resumed(body: &[u8]) -> bool {
    serde_json::from_slice::<GenerateRequest>(body).is_ok_and(|req| req.resume.is_some())
}

async fn admit_and_start(node: &Arc<Node>, body: &[u8]) -> Result<deliver::EventStream, Problem> {
    let arrived_at = Instant::now();
    let in_flight = crate::entry::Lifecycle::begin(node)?;
    let cx = identify_generate(node, body)?;
    suspect::refuse_suspects(node, cx.call.digest)?;
    let grant = Admission::admit(node, &cx, arrived_at).await?;
    dispatch::start(node, cx, grant, in_flight, arrived_at).await
}
