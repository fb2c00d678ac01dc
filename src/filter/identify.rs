//! The first filter: parses a request and checks that the configuration allows it.

use bytes::Bytes;
use pistachioyard_policy::{ActiveConfig, serving_version};
use pistachioyard_wire::{
    CallName, CallPolicy, GenerateRequest, OperationKey, OperationRequest, ServiceName,
    ServicePolicy, ValidatedGenerateRequest, WorkspacePolicy,
};

use crate::prelude::*;

/// Holds a validated request and its settings from the configuration.
#[derive(Clone)]
pub(crate) struct GenerateContext {
    /// The request.
    pub(crate) call: ValidatedGenerateRequest,
    /// The priority: the one in the request, or else the workspace's default.
    pub(crate) priority: Priority,
    /// The model version to generate with.
    pub(crate) version: VersionName,
    /// The number of layers of the model.
    pub(crate) layers: u32,
    /// The workspace's share and limits.
    pub(crate) workspace: WorkspacePolicy,
}

/// Validates a generate request.
pub(crate) fn identify_generate(node: &Node, body: &[u8]) -> Result<GenerateContext, Problem> {
    let raw: GenerateRequest = serde_json::from_slice(body)
        .map_err(|e| bad_request(format!("the body is not a generate request: {e}")))?;
    let call = ValidatedGenerateRequest::try_from(raw).map_err(|e| bad_request(e.to_string()))?;
    let active = node.config_for_new_work()?;
    let workspace = find_workspace(&active, &call.workspace)?.clone();
    let model = active
        .config
        .models()
        .get(&call.model)
        .ok_or_else(|| not_configured("model", call.model.as_str()))?;
    if !workspace.models.contains(&call.model) {
        return Err(not_allowed(&call.workspace, "model", call.model.as_str()));
    }
    if let Some(adapter) = &call.adapter
        && !model.adapters.contains(adapter)
    {
        return Err(not_configured("adapter", adapter.as_str()));
    }
    let version = call.resume.as_ref().map_or_else(
        || {
            let now = Instant::now();
            let adapter = call.adapter.as_ref();
            serving_version(&node.fleet.lock(), &call.model, model, adapter, now)
        },
        |token| token.version.clone(),
    );
    Ok(GenerateContext {
        priority: call.priority.unwrap_or(workspace.priority),
        version,
        layers: model.layers,
        workspace,
        call,
    })
}

/// Holds the parts of an operation as the caller sent them.
pub(crate) struct RawOperation<'a> {
    /// The service, from the path.
    pub(crate) service: &'a str,
    /// The query parameter `call`.
    pub(crate) call: Option<&'a str>,
    /// The header `x-workspace`.
    pub(crate) workspace: Option<&'a str>,
    /// The header `idempotency-key`.
    pub(crate) key: Option<&'a str>,
    /// The body.
    pub(crate) body: Bytes,
}

/// Validates an operation; returns it and whether its call is idempotent.
pub(crate) fn identify_operation(
    node: &Node,
    raw: RawOperation<'_>,
) -> Result<(OperationRequest, bool), Problem> {
    let service = ServiceName::try_from(raw.service).map_err(|e| bad_request(e.to_string()))?;
    let workspace = raw
        .workspace
        .ok_or_else(|| bad_request("the header x-workspace is missing".to_owned()))?;
    let workspace = WorkspaceName::try_from(workspace).map_err(|e| bad_request(e.to_string()))?;
    let key = raw
        .key
        .map(OperationKey::try_from)
        .transpose()
        .map_err(|e| Problem::new(ProblemKind::BadKey, Outcome::NotRun, e.to_string()))?;
    let active = node.config_for_new_work()?;
    let policy = find_workspace(&active, &workspace)?;
    let calls = active
        .config
        .services()
        .get(&service)
        .ok_or_else(|| not_configured("service", service.as_str()))?;
    let (call, call_policy) = find_call(calls, raw.call)?;
    if !policy.services.contains(&service) {
        return Err(not_allowed(&workspace, "service", service.as_str()));
    }
    if key.is_none() && !call_policy.repeatable {
        let detail = format!(
            "'{service}/{call}' is not idempotent; send a UUIDv7 in the header idempotency-key"
        );
        return Err(Problem::new(ProblemKind::BadKey, Outcome::NotRun, detail));
    }
    let request = OperationRequest {
        workspace,
        service,
        call,
        key,
        body: raw.body,
    };
    Ok((request, call_policy.repeatable))
}

/// Finds the requested call; the name may be missing if the service has only one call.
fn find_call(calls: &ServicePolicy, raw: Option<&str>) -> Result<(CallName, CallPolicy), Problem> {
    match raw {
        Some(raw) => {
            let name = CallName::try_from(raw).map_err(|e| bad_request(e.to_string()))?;
            let policy = calls
                .get(&name)
                .ok_or_else(|| not_configured("call", name.as_str()))?;
            Ok((name, *policy))
        }
        None => match calls.iter().next() {
            Some((name, policy)) if calls.len() == 1 => Ok((name.clone(), *policy)),
            _ => {
                let names: Vec<&str> = calls.keys().map(CallName::as_str).collect();
                let names = names.join(", ");
                Err(bad_request(format!(
                    "the query parameter call is missing; expected one of: {names}"
                )))
            }
        },
    }
}

fn find_workspace<'a>(
    active: &'a ActiveConfig,
    name: &WorkspaceName,
) -> Result<&'a WorkspacePolicy, Problem> {
    active
        .config
        .workspaces()
        .get(name)
        .ok_or_else(|| not_configured("workspace", name.as_str()))
}

/// Returns the problem for a malformed request.
pub(crate) fn bad_request(detail: String) -> Problem {
    Problem::new(ProblemKind::BadRequest, Outcome::NotRun, detail)
}

fn not_configured(what: &str, name: &str) -> Problem {
    let detail = format!("no {what} '{name}' is configured in the operators' file in force");
    Problem::new(ProblemKind::NotConfigured, Outcome::NotRun, detail)
}

fn not_allowed(workspace: &WorkspaceName, what: &str, name: &str) -> Problem {
    let detail = format!("the workspace '{workspace}' may not use the {what} '{name}'");
    Problem::new(ProblemKind::NotAllowed, Outcome::NotRun, detail)
}
