//! The HTTP handlers of the fault proxy's control interface.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, RequestContext, TypedBody, endpoint,
};

use super::control::{FaultRule, Route};
use super::state::ProxyState;

type Cx = RequestContext<Arc<ProxyState>>;

pub(crate) fn describe() -> Result<ApiDescription<Arc<ProxyState>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(get_routes)?;
    api.register(put_routes)?;
    api.register(put_faults)?;
    Ok(api)
}

/// Lists the open routes.
#[endpoint { method = GET, path = "/control/routes" }]
async fn get_routes(cx: Cx) -> Result<HttpResponseOk<Vec<Route>>, HttpError> {
    Ok(HttpResponseOk(cx.context().routes()))
}

/// Adds routes; open routes that are not in the list stay open.
#[endpoint { method = PUT, path = "/control/routes" }]
async fn put_routes(
    cx: Cx,
    body: TypedBody<Vec<Route>>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    for route in body.into_inner() {
        cx.context().add_route(route).await.map_err(|e| {
            let status = ClientErrorStatusCode::CONFLICT;
            HttpError::for_client_error(None, status, e.to_string())
        })?;
    }
    Ok(HttpResponseUpdatedNoContent())
}

/// Replaces the fault rules in force.
#[endpoint { method = PUT, path = "/control/faults" }]
async fn put_faults(
    cx: Cx,
    body: TypedBody<Vec<FaultRule>>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    cx.context()
        .set_rules(body.into_inner())
        .map_err(|e| HttpError::for_internal_error(e.to_string()))?;
    Ok(HttpResponseUpdatedNoContent())
}
