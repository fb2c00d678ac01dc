//! Sends orders to endpoints.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use pistachioyard_platform::{LoadOrder, OrderAnswer, decode_answer_head, decode_order_answer};

use crate::client::read_whole;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::endpoint_answer::AnswerTo;
use crate::router::endpoint_client::{MAX_REPORT_BYTES, Reuse};
use crate::router::{Router, metric};

/// Posts an order and returns the endpoint's answer with the response body.
pub(crate) async fn post_order(
    router: &Router,
    endpoint: &EndpointId,
    to: SocketAddr,
    order: &serde_json::Value,
    timeout: Duration,
) -> Result<(OrderAnswer, Bytes), CallError> {
    metric::count_order();
    let answered = tokio::time::timeout(timeout, exchange(router, endpoint, to, order));
    answered.await.unwrap_or(Err(CallError::Timeout { to }))
}

async fn exchange(
    router: &Router,
    endpoint: &EndpointId,
    to: SocketAddr,
    order: &serde_json::Value,
) -> Result<(OrderAnswer, Bytes), CallError> {
    let mut req = Request::new(Full::new(Bytes::from(order.to_string())));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = http::Uri::from_static(LoadOrder::PATH);
    let headers = req.headers_mut();
    headers.insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = http::HeaderValue::from_str(&to.to_string()) {
        headers.insert(http::header::HOST, host);
    }
    let run = router.endpoints.lock().run_of(endpoint);
    let (response, connection) = router.client.send(to, req, Reuse::Allowed).await?;
    let head = decode_answer_head(response.status(), response.headers());
    if !head.may_answer(None) {
        return Err(CallError::AnswerLost { to });
    }
    router.note_answer(&run, &head, AnswerTo::Control);
    let answer = decode_order_answer(head.status);
    let body = read_whole(
        to,
        response.into_body(),
        MAX_REPORT_BYTES,
        &router.client.memory,
    )
    .await?;
    router.client.keep(connection, None);
    Ok((answer, body))
}
