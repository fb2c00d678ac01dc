//! The last filter: counts how requests ended.
//!
//! Each request is counted once, in the metrics and for the burn report. A stream
//! counts its own end; whatever is refused before a stream exists is counted here.

use pistachioyard_wire::OperationOutcome;
use serde::Deserialize;

use crate::prelude::*;

/// The part of a request's body that says who asks.
#[derive(Deserialize)]
struct Asker {
    workspace: WorkspaceName,
    #[serde(default)]
    priority: Option<Priority>,
}

/// Counts a request for a generated answer that was refused before a stream
/// existed.
pub(crate) fn generate_refused(node: &Node, body: &[u8], problem: &Problem) {
    let label = problem.kind.as_str();
    crate::metric::request_ended("generate", label);
    let asker = serde_json::from_slice::<Asker>(body).ok();
    let who = asker.map(|asker| {
        let priority = asker
            .priority
            .unwrap_or_else(|| own_priority(node, &asker.workspace));
        (asker.workspace, priority)
    });
    let who = who.as_ref().map(|(name, priority)| (name, *priority));
    node.burn.generate_ended(who, label, Some(problem));
}

/// Counts an operation; `workspace` is what its caller named.
pub(crate) fn operation_ended(
    node: &Node,
    workspace: Option<&str>,
    ended: Result<&OperationOutcome, &Problem>,
) {
    let label = match ended {
        Ok(_) => "done",
        Err(problem) => problem.kind.as_str(),
    };
    crate::metric::request_ended("operation", label);
    let who = workspace
        .and_then(|raw| WorkspaceName::try_from(raw).ok())
        .map(|name| {
            let priority = own_priority(node, &name);
            (name, priority)
        });
    let who = who.as_ref().map(|(name, priority)| (name, *priority));
    node.burn.operation_ended(who, label, ended.err());
}

/// Counts an operation that was refused before it was looked at.
pub(crate) fn operation_refused(node: &Node, workspace: Option<&str>, problem: &Problem) {
    operation_ended(node, workspace, Err(problem));
}

/// Returns the priority of a workspace's requests that name none.
fn own_priority(node: &Node, workspace: &WorkspaceName) -> Priority {
    let adoption = node.adoption.lock();
    adoption
        .current()
        .and_then(|active| active.config.workspaces().get(workspace))
        .map_or_else(Priority::default, |policy| policy.priority)
}
