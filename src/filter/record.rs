//! The last filter: counts how requests ended.
//!
//! Each request is counted once, in the metrics and for the burn report. A stream counts its
//! own end. A request that is refused before a stream exists is counted here.

use pistachioyard_wire::OperationOutcome;
use serde::Deserialize;

use crate::prelude::*;

/// The fields of a request body that identify the requester.
#[derive(Deserialize)]
struct Requester {
    workspace: WorkspaceName,
    #[serde(default)]
    priority: Option<Priority>,
}

/// Counts a generate request that was refused before a stream existed.
pub(crate) fn generate_refused(node: &Node, body: &[u8], problem: &Problem) {
    let label = problem.kind.as_str();
    crate::metric::request_ended("generate", label);
    let requester = serde_json::from_slice::<Requester>(body).ok();
    let requester = requester.map(|requester| {
        let priority = requester
            .priority
            .unwrap_or_else(|| workspace_priority(node, &requester.workspace));
        (requester.workspace, priority)
    });
    let requester = requester.as_ref().map(|(name, priority)| (name, *priority));
    node.burn.generate_ended(requester, label, Some(problem));
}

/// Counts an operation; `workspace` is the name that its caller sent, not yet validated.
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
    let requester = workspace
        .and_then(|raw| WorkspaceName::try_from(raw).ok())
        .map(|name| {
            let priority = workspace_priority(node, &name);
            (name, priority)
        });
    let requester = requester.as_ref().map(|(name, priority)| (name, *priority));
    node.burn.operation_ended(requester, label, ended.err());
}

/// Counts an operation that was refused before it reached the filters.
pub(crate) fn operation_refused(node: &Node, workspace: Option<&str>, problem: &Problem) {
    operation_ended(node, workspace, Err(problem));
}

/// Returns the default priority of a workspace's requests.
fn workspace_priority(node: &Node, workspace: &WorkspaceName) -> Priority {
    let adoption = node.adoption.lock();
    adoption
        .current()
        .and_then(|active| active.config.workspaces().get(workspace))
        .map_or_else(Priority::default, |policy| policy.priority)
}
