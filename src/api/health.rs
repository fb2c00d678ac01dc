//! Handlers for health, readiness and metrics.

use dropshot::{ApiDescription, RequestContext, endpoint};
use http::Response;

use super::ApiContext;
use super::respond::HandlerResult;

pub(crate) fn register(api: &mut ApiDescription<ApiContext>) {
    api.register(healthz).expect("the path is unique");
    api.register(readyz).expect("the path is unique");
    api.register(metrics).expect("the path is unique");
}

/// Returns 200 as long as the process runs.
#[endpoint { method = GET, path = "/healthz" }]
async fn healthz(_rqctx: RequestContext<ApiContext>) -> HandlerResult {
    Ok(Response::builder().body("ok\n".into())?)
}

/// Returns 200 when the entry accepts new work, and 503 otherwise.
#[endpoint { method = GET, path = "/readyz" }]
async fn readyz(rqctx: RequestContext<ApiContext>) -> HandlerResult {
    let (status, text) = if rqctx.context().node.is_ready() {
        (200, "ready\n")
    } else {
        (503, "not ready\n")
    };
    Ok(Response::builder().status(status).body(text.into())?)
}

/// Returns the metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(rqctx: RequestContext<ApiContext>) -> HandlerResult {
    let cx = rqctx.context();
    crate::metric::set_gauges(&cx.node);
    Ok(Response::builder()
        .header("content-type", "text/plain; version=0.0.4")
        .body(cx.metrics.render().into())?)
}
