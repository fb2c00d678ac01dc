//! Handlers for the operators' client.

use dropshot::{
    ApiDescription, HttpError, HttpResponseOk, RequestContext, StreamingBody, endpoint,
};
use pistachioyard_wire::{AcceptedConfig, ApplyRequest, EntryBurn, EntryStatus, ForceStatus};

use super::ApiContext;
use super::body::read_body;
use super::respond::{HandlerResult, json};
use crate::prelude::*;

pub(crate) fn register(api: &mut ApiDescription<ApiContext>) {
    api.register(burn).expect("the path is unique");
    api.register(apply).expect("the path is unique");
    api.register(config).expect("the path is unique");
    api.register(status).expect("the path is unique");
}

/// Applies an operators' file as a whole.
///
/// The request body is JSON with apply (a UUID), base (a revision) and text (the
/// file). The response is JSON with one of accepted, conflict, rejected and
/// undecided. The handler reads the body as bytes, so that it can reject a body
/// that is too large or malformed with a problem document; therefore this
/// document does not describe the type of the body.
#[endpoint { method = POST, path = "/v1/config" }]
async fn apply(rqctx: RequestContext<ApiContext>, body: StreamingBody) -> HandlerResult {
    let node = &rqctx.context().node;
    let answer = async {
        let body = read_body(&rqctx, body).await?;
        let req: ApplyRequest = serde_json::from_slice(&body).map_err(|e| {
            crate::filter::bad_request(format!("the body is not an apply request: {e}"))
        })?;
        Ok(crate::controller::apply(node, req).await)
    };
    json(answer.await)
}

/// Returns the configuration in force at this entry.
///
/// The response is JSON with revision, digest, text and applies. The revision is 0
/// if no configuration is in force.
#[endpoint { method = GET, path = "/v1/config" }]
async fn config(rqctx: RequestContext<ApiContext>) -> HandlerResult {
    let adoption = rqctx.context().node.adoption.lock();
    let accepted = adoption.current().map_or_else(
        || AcceptedConfig {
            revision: Revision(0),
            digest: String::new(),
            text: "".into(),
            applies: Vec::new(),
        },
        |active| active.accepted.clone(),
    );
    json(Ok(accepted))
}

/// Returns which entries have the configuration in force, as this entry sees it.
#[endpoint { method = GET, path = "/v1/status" }]
async fn status(
    rqctx: RequestContext<ApiContext>,
) -> Result<HttpResponseOk<ForceStatus>, HttpError> {
    let node = &rqctx.context().node;
    let digest = node
        .adoption
        .lock()
        .current()
        .map(|active| active.accepted.digest.clone())
        .unwrap_or_default();
    let entries = node
        .membership
        .lock()
        .all(Instant::now())
        .into_iter()
        .map(|(record, state)| EntryStatus {
            entry: record.entry,
            address: record.address,
            data_centre: record.data_centre,
            state,
            revision: record.revision,
        })
        .collect();
    let usable_endpoints = node.usable_endpoints(Instant::now());
    Ok(HttpResponseOk(ForceStatus {
        entry: node.settings.entry.clone(),
        revision: node.revision(),
        digest,
        ready: node.is_ready(),
        usable_endpoints: usable_endpoints as u32,
        platform_reachable: node.platform.is_reachable(),
        entries,
    }))
}

/// Returns what this entry has counted against the service levels.
#[endpoint { method = GET, path = "/v1/burn" }]
async fn burn(rqctx: RequestContext<ApiContext>) -> Result<HttpResponseOk<EntryBurn>, HttpError> {
    let node = &rqctx.context().node;
    let burn = node.burn.report(&node.settings.entry, Instant::now());
    Ok(HttpResponseOk(burn))
}
