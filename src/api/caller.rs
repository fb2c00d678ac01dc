//! Handlers for callers.

use dropshot::{
    ApiDescription, HttpResponseOk, Path, Query, RequestContext, StreamingBody, endpoint,
};
use http::Response;
use pistachioyard_wire::{EntryAddress, EntryList};
use schemars::JsonSchema;
use serde::Deserialize;

use super::ApiContext;
use super::body::read_body;
use super::respond::{HandlerResult, json, problem_response};
use crate::filter::{self, RawOperation};
use crate::prelude::*;

/// The maximum number of entries that are returned to a caller.
const MAX_ENTRIES: usize = 8;

pub(crate) fn register(api: &mut ApiDescription<ApiContext>) {
    api.register(entries).expect("the path is unique");
    api.register(generate).expect("the path is unique");
    api.register(operate).expect("the path is unique");
    api.register(operation_outcome).expect("the path is unique");
}

#[derive(Deserialize, JsonSchema)]
struct EntriesQuery {
    /// The workspace that will send requests. The requests of a workspace are kept on
    /// a few entries.
    workspace: Option<String>,
    /// The data centre that is nearest to the caller.
    data_centre: Option<String>,
}

/// Returns the entries to use, the best one first.
#[endpoint { method = GET, path = "/v1/entries" }]
async fn entries(
    rqctx: RequestContext<ApiContext>,
    query: Query<EntriesQuery>,
) -> Result<HttpResponseOk<EntryList>, dropshot::HttpError> {
    let node = &rqctx.context().node;
    let query = query.into_inner();
    let workspace = query
        .workspace
        .and_then(|raw| WorkspaceName::try_from(raw).ok())
        .or_else(|| WorkspaceName::try_from("default").ok());
    let data_centre = query
        .data_centre
        .and_then(|raw| DataCentre::try_from(raw).ok());
    let membership = node.membership.lock();
    let entries = workspace
        .map(|name| {
            membership.entries_for(&name, data_centre.as_ref(), MAX_ENTRIES, Instant::now())
        })
        .unwrap_or_default()
        .into_iter()
        .map(|record| EntryAddress {
            entry: record.entry.clone(),
            address: record.address,
            data_centre: record.data_centre.clone(),
        })
        .collect();
    Ok(HttpResponseOk(EntryList {
        entries,
        valid_ms: node.settings.entries_valid.as_millis() as u64,
    }))
}

/// Generates an answer.
///
/// The request body is JSON with workspace, model, prompt and max_tokens, and
/// optionally adapter, priority, deadline_ms, resume and received. The response is
/// a stream of server-sent events (start, token, end, error) or an
/// application/problem+json document. This document describes neither, because the
/// body is read as bytes and the response is sent event by event.
#[endpoint { method = POST, path = "/v1/generate" }]
async fn generate(rqctx: RequestContext<ApiContext>, body: StreamingBody) -> HandlerResult {
    let node = &rqctx.context().node;
    let outcome = match read_body(&rqctx, body).await {
        Ok(body) => filter::generate(node, &body).await,
        Err(problem) => {
            filter::generate_refused(node, &[], &problem);
            Err(problem)
        }
    };
    match outcome {
        Ok(events) => Ok(Response::builder()
            .header("content-type", "text/event-stream")
            .header("cache-control", "no-store")
            .body(filter::event_body(events))?),
        Err(problem) => problem_response(&problem),
    }
}

#[derive(Deserialize, JsonSchema)]
struct OperationPath {
    /// The name of the service when an operation is sent; the operation's key when its
    /// outcome is read.
    id: String,
}

#[derive(Deserialize, JsonSchema)]
struct OperationQuery {
    /// The call of the service; required if the service has several.
    call: Option<String>,
}

/// Runs an operation on the plain service named in the path.
///
/// The headers are x-workspace and, for calls that are not idempotent,
/// idempotency-key with a UUIDv7. The body is forwarded unchanged. The response is
/// JSON with key, outcome, status, answer and repeated, or an
/// application/problem+json document; this document cannot describe a choice of
/// two types.
#[endpoint { method = POST, path = "/v1/operations/{id}" }]
async fn operate(
    rqctx: RequestContext<ApiContext>,
    path: Path<OperationPath>,
    query: Query<OperationQuery>,
    body: StreamingBody,
) -> HandlerResult {
    let node = &rqctx.context().node;
    let path = path.into_inner();
    let query = query.into_inner();
    let body = match read_body(&rqctx, body).await {
        Ok(body) => body,
        Err(problem) => {
            filter::operation_refused(node, header(&rqctx, "x-workspace"), &problem);
            return problem_response(&problem);
        }
    };
    let raw = RawOperation {
        service: &path.id,
        call: query.call.as_deref(),
        workspace: header(&rqctx, "x-workspace"),
        key: header(&rqctx, "idempotency-key"),
        body,
    };
    json(filter::operate(node, raw).await)
}

/// Returns the outcome of the operation whose key is named in the path.
///
/// The response is that of the operation itself, or an application/problem+json
/// document; this document cannot describe both.
#[endpoint { method = GET, path = "/v1/operations/{id}" }]
async fn operation_outcome(
    rqctx: RequestContext<ApiContext>,
    path: Path<OperationPath>,
) -> HandlerResult {
    let node = &rqctx.context().node;
    json(filter::recorded_outcome(node, &path.into_inner().id).await)
}

fn header<'a>(rqctx: &'a RequestContext<ApiContext>, name: &str) -> Option<&'a str> {
    rqctx
        .request
        .headers()
        .get(name)
        .map(|value| value.to_str().unwrap_or("\u{fffd}"))
}
