//! The HTTP handlers of the platform stand-in.

use std::sync::Arc;

use ::http::{Response, StatusCode, header};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, HttpError,
    HttpResponseOk, HttpResponseUpdatedNoContent, Path, Query, RequestContext, TypedBody, endpoint,
};
use pistachioyard_wire::{HostRecord, ObjectKey, ObjectRecord, ObjectWrite, WatchPage};
use schemars::JsonSchema;
use serde::Deserialize;

use super::control::{CallCounts, PlatformFaults};
use super::state::{CallKind, PlatformState};
use crate::server::abort_connection;

/// The maximum size of an object's value, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

type Cx = RequestContext<Arc<PlatformState>>;

#[derive(Debug, Deserialize, JsonSchema)]
struct KeyPath {
    key: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize, JsonSchema)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: u64,
    wait_ms: u64,
}

pub(crate) fn describe() -> Result<ApiDescription<Arc<PlatformState>>, ApiDescriptionRegisterError>
{
    let mut api = ApiDescription::new();
    api.register(get_object)?;
    api.register(put_object)?;
    api.register(list_objects)?;
    api.register(watch_objects)?;
    api.register(list_hosts)?;
    api.register(put_hosts)?;
    api.register(put_faults)?;
    api.register(get_counts)?;
    Ok(api)
}

/// Returns one object.
#[endpoint { method = GET, path = "/objects/{key}" }]
async fn get_object(
    cx: Cx,
    path: Path<KeyPath>,
) -> Result<HttpResponseOk<ObjectRecord>, HttpError> {
    let state = cx.context();
    state.begin_call(CallKind::Read).await?;
    let key = ObjectKey(path.into_inner().key.into());
    let object = state.with_store(|store| store.get(&key));
    object
        .map(HttpResponseOk)
        .ok_or_else(|| HttpError::for_not_found(None, format!("no object has the key '{key}'")))
}

/// Writes one object if the condition of the write holds.
#[endpoint { method = PUT, path = "/objects/{key}" }]
async fn put_object(
    cx: Cx,
    path: Path<KeyPath>,
    body: TypedBody<ObjectWrite>,
) -> Result<Response<Body>, HttpError> {
    let state = cx.context();
    let key = ObjectKey(path.into_inner().key.into());
    state.count_write_under(&key);
    state.begin_call(CallKind::Write).await?;
    let write = body.into_inner();
    check_size(&write)?;
    let result = state.write(key, write).await?;
    if result.is_answer_lost {
        return Ok(abort_connection());
    }
    let answer = serde_json::to_vec(&result.answer)
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    let response = Response::builder()
        .status(StatusCode::OK)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(answer))?;
    Ok(response)
}

fn check_size(write: &ObjectWrite) -> Result<(), HttpError> {
    let len = write.value.as_ref().map_or(0, String::len);
    if len <= MAX_VALUE_BYTES {
        return Ok(());
    }
    Err(HttpError::for_client_error(
        None,
        ClientErrorStatusCode::PAYLOAD_TOO_LARGE,
        format!("the value has {len} bytes; the maximum is {MAX_VALUE_BYTES}"),
    ))
}

/// Lists the objects under a prefix, ordered by key.
#[endpoint { method = GET, path = "/objects" }]
async fn list_objects(
    cx: Cx,
    query: Query<ListQuery>,
) -> Result<HttpResponseOk<Vec<ObjectRecord>>, HttpError> {
    let state = cx.context();
    state.begin_call(CallKind::List).await?;
    let prefix = query.into_inner().prefix;
    Ok(HttpResponseOk(
        state.with_store(|store| store.list(&prefix)),
    ))
}

/// Waits for a change of the objects under a prefix.
#[endpoint { method = GET, path = "/watch" }]
async fn watch_objects(
    cx: Cx,
    query: Query<WatchQuery>,
) -> Result<HttpResponseOk<WatchPage>, HttpError> {
    let state = cx.context();
    state.begin_call(CallKind::Watch).await?;
    let WatchQuery {
        prefix,
        after,
        wait_ms,
    } = query.into_inner();
    Ok(HttpResponseOk(state.watch(&prefix, after, wait_ms).await?))
}

/// Returns the host list, delayed by the lag in force.
#[endpoint { method = GET, path = "/hosts" }]
async fn list_hosts(cx: Cx) -> Result<HttpResponseOk<Vec<HostRecord>>, HttpError> {
    let state = cx.context();
    state.begin_call(CallKind::Hosts).await?;
    Ok(HttpResponseOk(state.hosts()))
}

/// Replaces the host list.
#[endpoint { method = PUT, path = "/control/hosts" }]
async fn put_hosts(
    cx: Cx,
    body: TypedBody<Vec<HostRecord>>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    cx.context().set_hosts(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Replaces the injected faults.
#[endpoint { method = PUT, path = "/control/faults" }]
async fn put_faults(
    cx: Cx,
    body: TypedBody<PlatformFaults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    cx.context().set_faults(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

/// Returns the call counts so far.
#[endpoint { method = GET, path = "/control/counts" }]
async fn get_counts(cx: Cx) -> Result<HttpResponseOk<CallCounts>, HttpError> {
    Ok(HttpResponseOk(cx.context().counts()))
}
