//! HTTP handlers of the service stand-in.

use std::sync::Arc;

use ::http::{Response, StatusCode, header};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, RequestContext, TypedBody, UntypedBody, endpoint,
};
use pistachioyard_wire::{CallName, EndpointReport};
use schemars::JsonSchema;
use serde::Deserialize;

use super::control::{EffectRecord, ServiceFaults};
use super::state::{CallResult, ServiceState};
use crate::server::abort_connection;

type Cx = RequestContext<Arc<ServiceState>>;

#[derive(Debug, Deserialize, JsonSchema)]
struct CallPath {
    call: CallName,
}

/// Registers all handlers of the service stand-in.
pub(crate) fn describe() -> Result<ApiDescription<Arc<ServiceState>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(post_call)?;
    api.register(get_report)?;
    api.register(get_effects)?;
    api.register(put_faults)?;
    Ok(api)
}

/// Runs a call and returns its answer.
#[endpoint { method = POST, path = "/v1/calls/{call}" }]
async fn post_call(
    cx: Cx,
    path: Path<CallPath>,
    body: UntypedBody,
) -> Result<Response<Body>, HttpError> {
    let key = cx
        .request
        .headers()
        .get("idempotency-key")
        .map(|key| String::from_utf8_lossy(key.as_bytes()).into_owned());
    let body = String::from_utf8_lossy(body.as_bytes()).into_owned();
    let result = cx.context().run(path.into_inner().call, key, body).await;
    match result {
        CallResult::Answered(answer) => {
            let answer = serde_json::to_vec(&answer)
                .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
            let response = Response::builder()
                .header(header::CONTENT_TYPE, "application/json")
                .body(Body::from(answer))?;
            Ok(response)
        }
        CallResult::AnswerDropped => Ok(abort_connection()),
        CallResult::Refused => {
            let response = Response::builder()
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header("x-not-run", "true")
                .body(Body::empty())?;
            Ok(response)
        }
    }
}

/// Returns the report of the endpoint.
#[endpoint { method = GET, path = "/v1/report" }]
async fn get_report(cx: Cx) -> Result<HttpResponseOk<EndpointReport>, HttpError> {
    Ok(HttpResponseOk(cx.context().report()))
}

/// Returns the effects so far, by call and idempotency key.
#[endpoint { method = GET, path = "/control/effects" }]
async fn get_effects(cx: Cx) -> Result<HttpResponseOk<Vec<EffectRecord>>, HttpError> {
    Ok(HttpResponseOk(cx.context().effects()))
}

/// Replaces the injected faults.
#[endpoint { method = PUT, path = "/control/faults" }]
async fn put_faults(
    cx: Cx,
    body: TypedBody<ServiceFaults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    cx.context().set_faults(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}
