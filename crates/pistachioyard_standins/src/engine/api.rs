//! HTTP handlers of an engine; the module `endpoint` of `pistachioyard_wire` documents the API.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ClientErrorStatusCode, ErrorStatusCode,
    HttpError, HttpResponseOk, HttpResponseUpdatedNoContent, Path, Query, RequestContext,
    TypedBody, WebsocketChannelResult, WebsocketConnection, channel, endpoint,
};
use http::{Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use pistachioyard_wire::{
    Attempt, CacheEventPage, EndpointId, EndpointReport, KvSnapshot, Order, StreamId,
    StreamProgress, StreamRequest,
};
use schemars::JsonSchema;
use serde::Deserialize;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::Role;

use super::control::{EngineFaults, RunRecord};
use super::core::Engine;
use super::link::serve_incoming;
use super::open::StartRefusal;

type Context = RequestContext<Arc<Engine>>;

#[derive(Deserialize, JsonSchema)]
struct StreamPath {
    stream: StreamId,
}

#[derive(Deserialize, JsonSchema)]
struct AttemptQuery {
    attempt: Attempt,
}

#[derive(Deserialize, JsonSchema)]
struct AfterQuery {
    after: Option<u64>,
}

#[derive(Deserialize, JsonSchema)]
struct RunsQuery {
    stream: Option<StreamId>,
}

#[derive(Deserialize, JsonSchema)]
struct LinkQuery {
    from: EndpointId,
}

/// Registers all handlers of an engine.
pub(crate) fn describe_api() -> Result<ApiDescription<Arc<Engine>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(start_stream)?;
    api.register(stream_progress)?;
    api.register(cancel_stream)?;
    api.register(export_kv)?;
    api.register(import_kv)?;
    api.register(report)?;
    api.register(cache_events)?;
    api.register(take_order)?;
    api.register(link)?;
    api.register(list_orders)?;
    api.register(list_runs)?;
    api.register(set_faults)?;
    Ok(api)
}

/// Returns an error response with a status and a message.
fn http_error(status: StatusCode, message: impl ToString) -> HttpError {
    let status_code =
        ErrorStatusCode::from_status(status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR);
    HttpError {
        status_code,
        error_code: None,
        external_message: message.to_string(),
        internal_message: message.to_string(),
        headers: None,
    }
}

fn unknown_stream(stream: StreamId) -> HttpError {
    HttpError::for_client_error(
        None,
        ClientErrorStatusCode::NOT_FOUND,
        format!("stream {stream} is unknown to this endpoint"),
    )
}

/// Closes an attempt when the body of its response is dropped.
///
/// The body is dropped when the caller disconnects or the answer is complete.
struct CancelGuard {
    engine: Arc<Engine>,
    stream: StreamId,
    attempt: Attempt,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let mut core = self.engine.lock();
        self.engine.close(&mut core, self.stream, self.attempt);
    }
}

/// Waits for a line and returns it as one chunk with all lines queued behind it.
async fn next_chunk(rx: &mut UnboundedReceiver<Bytes>) -> Option<Bytes> {
    let first = rx.recv().await?;
    let Ok(second) = rx.try_recv() else {
        return Some(first);
    };
    let mut chunk = BytesMut::from(&first[..]);
    chunk.extend_from_slice(&second);
    while let Ok(line) = rx.try_recv() {
        chunk.extend_from_slice(&line);
    }
    Some(chunk.freeze())
}

#[endpoint { method = POST, path = "/v1/streams" }]
async fn start_stream(
    cx: Context,
    body: TypedBody<StreamRequest>,
) -> Result<Response<Body>, HttpError> {
    let engine = Arc::clone(cx.context());
    let req = body.into_inner();
    let (stream, attempt) = (req.stream, req.attempt);
    let rx = engine.start_attempt(req).map_err(|refusal| {
        let status = match refusal {
            StartRefusal::BadChain | StartRefusal::TooManyTokens { .. } => StatusCode::BAD_REQUEST,
            StartRefusal::OldAttempt { .. } => StatusCode::CONFLICT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        http_error(status, refusal)
    })?;
    let guard = CancelGuard {
        engine,
        stream,
        attempt,
    };
    let chunks = futures_util::stream::unfold((rx, guard), async |(mut rx, guard)| {
        let chunk = next_chunk(&mut rx).await?;
        Some((Ok::<_, Infallible>(Frame::data(chunk)), (rx, guard)))
    });
    Response::builder()
        .header(header::CONTENT_TYPE, "application/x-ndjson")
        .body(Body::wrap(StreamBody::new(chunks)))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

#[endpoint { method = GET, path = "/v1/streams/{stream}" }]
async fn stream_progress(
    cx: Context,
    path: Path<StreamPath>,
) -> Result<HttpResponseOk<StreamProgress>, HttpError> {
    let stream = path.into_inner().stream;
    let progress = cx.context().progress(stream);
    Ok(HttpResponseOk(
        progress.ok_or_else(|| unknown_stream(stream))?,
    ))
}

#[endpoint { method = DELETE, path = "/v1/streams/{stream}" }]
async fn cancel_stream(
    cx: Context,
    path: Path<StreamPath>,
    query: Query<AttemptQuery>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let attempt = query.into_inner().attempt;
    cx.context().cancel(path.into_inner().stream, attempt);
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = GET, path = "/v1/streams/{stream}/kv" }]
async fn export_kv(
    cx: Context,
    path: Path<StreamPath>,
) -> Result<HttpResponseOk<KvSnapshot>, HttpError> {
    let stream = path.into_inner().stream;
    let snapshot = cx.context().export_kv(stream);
    Ok(HttpResponseOk(
        snapshot.ok_or_else(|| unknown_stream(stream))?,
    ))
}

#[endpoint { method = PUT, path = "/v1/streams/{stream}/kv" }]
async fn import_kv(
    cx: Context,
    path: Path<StreamPath>,
    body: TypedBody<KvSnapshot>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let snapshot = body.into_inner();
    let stream = path.into_inner().stream;
    if snapshot.stream != stream {
        let message = format!(
            "the KV cache belongs to stream {}, but the path names stream {stream}",
            snapshot.stream
        );
        return Err(HttpError::for_bad_request(None, message));
    }
    let imported = cx.context().import_kv(snapshot);
    imported.map_err(|refusal| http_error(StatusCode::CONFLICT, refusal))?;
    Ok(HttpResponseUpdatedNoContent())
}

#[endpoint { method = GET, path = "/v1/report" }]
async fn report(cx: Context) -> Result<HttpResponseOk<EndpointReport>, HttpError> {
    Ok(HttpResponseOk(cx.context().report()))
}

#[endpoint { method = GET, path = "/v1/cache-events" }]
async fn cache_events(
    cx: Context,
    query: Query<AfterQuery>,
) -> Result<HttpResponseOk<CacheEventPage>, HttpError> {
    let after = query.into_inner().after.unwrap_or(0);
    Ok(HttpResponseOk(
        cx.context().lock().cache.events_after(after),
    ))
}

#[endpoint { method = POST, path = "/v1/orders" }]
async fn take_order(cx: Context, body: TypedBody<Order>) -> Result<Response<Body>, HttpError> {
    let (status, answer) = match cx.context().take_order(body.into_inner()) {
        Ok(()) => (StatusCode::NO_CONTENT, Vec::new()),
        Err(refusal) => {
            let refusal = serde_json::to_vec(&refusal);
            let refusal = refusal.map_err(|e| HttpError::for_internal_error(e.to_string()))?;
            (StatusCode::CONFLICT, refusal)
        }
    };
    Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::with_content(answer))
        .map_err(|e| HttpError::for_internal_error(e.to_string()))
}

#[channel { protocol = WEBSOCKETS, path = "/v1/link" }]
async fn link(
    cx: Context,
    query: Query<LinkQuery>,
    upgraded: WebsocketConnection,
) -> WebsocketChannelResult {
    let raw = upgraded.into_inner();
    let socket = WebSocketStream::from_raw_socket(raw, Role::Server, None).await;
    let engine = Arc::clone(cx.context());
    Ok(serve_incoming(engine, query.into_inner().from, socket).await?)
}

#[endpoint { method = GET, path = "/control/orders" }]
async fn list_orders(cx: Context) -> Result<HttpResponseOk<Vec<Order>>, HttpError> {
    Ok(HttpResponseOk(cx.context().lock().orders.clone()))
}

#[endpoint { method = GET, path = "/control/runs" }]
async fn list_runs(
    cx: Context,
    query: Query<RunsQuery>,
) -> Result<HttpResponseOk<Vec<RunRecord>>, HttpError> {
    let wanted = query.into_inner().stream;
    let core = cx.context().lock();
    let runs = core.runs.iter().copied();
    let runs = runs.filter(|run| wanted.is_none_or(|stream| run.stream == stream));
    Ok(HttpResponseOk(runs.collect()))
}

#[endpoint { method = PUT, path = "/control/faults" }]
async fn set_faults(
    cx: Context,
    body: TypedBody<EngineFaults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let faults = body.into_inner();
    cx.context().stall_links.send_replace(faults.stall_links);
    cx.context().lock().faults = faults;
    Ok(HttpResponseUpdatedNoContent())
}
