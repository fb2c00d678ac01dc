//! Gives orders to endpoints and settles what became of them.

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use pistachioyard_platform::{LoadOrder, OrderAnswer, decode_order_answer};
use pistachioyard_policy::{LayerMove, PipelineSpec, Suspect};
use pistachioyard_wire::Fence;

use crate::error::CallError;
use crate::prelude::*;
use crate::router::endpoint_client::Reuse;
use crate::router::{Router, metric};

/// How long an endpoint may take to answer an order; a sound one answers in a few ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// How much longer than its load takes an order is waited for, since loads that run
/// at once slow each other and the entry in the store lags.
const LOAD_SLACK: Duration = Duration::from_millis(3_000);

/// Gives all orders that are due, at the same time.
pub(super) async fn give(router: &Router, spec: &PipelineSpec, moves: &[LayerMove], fence: Fence) {
    join_all(
        moves
            .iter()
            .map(|order| give_one(router, spec, order, fence)),
    )
    .await;
}

async fn give_one(router: &Router, spec: &PipelineSpec, order: &LayerMove, fence: Fence) {
    let record = router.endpoints.lock().get(&order.endpoint).cloned();
    let Some(record) = record else {
        return;
    };
    let load_order = LoadOrder {
        layers: order.layers,
        fence,
        orders_begun: record.state.orders_begun,
    };
    metric::count_order();
    let sent = tokio::time::timeout(ORDER_TIMEOUT, send(router, record.address, &load_order));
    let answer = sent
        .await
        .unwrap_or(Err(CallError::Timeout { to: record.address }));
    let held = record
        .state
        .layers
        .map(|l| l.to_string())
        .unwrap_or_default();
    let outcome = match &answer {
        Ok(answer) => format!("{answer:?}"),
        Err(e) => e.to_string(),
    };
    spdlog::info!("placement: ordered", kv: {
        endpoint = order.endpoint.as_str(), layers = order.layers.to_string().as_str(),
        held = held.as_str(), orders_begun = record.state.orders_begun, fence = fence.0,
        outcome = outcome.as_str()
    });
    settle(router, spec, order, &record, answer).await;
}

async fn settle(
    router: &Router,
    spec: &PipelineSpec,
    order: &LayerMove,
    record: &pistachioyard_policy::EndpointRecord,
    answer: Result<OrderAnswer, CallError>,
) {
    let now = Instant::now();
    match answer {
        Ok(OrderAnswer::Begun) => {
            let share = f64::from(order.layers.len()) / f64::from(spec.layers);
            let load = Duration::from_secs_f64(spec.load_ms * share / 1e3);
            let until = now + load * 2 + LOAD_SLACK;
            router
                .endpoints
                .lock()
                .note_order(&order.endpoint, order.layers, until);
        }
        Err(CallError::NotSent { .. }) => router.suspect(&order.endpoint, Suspect::NoAnswer),
        // What it holds now decides the next round; it may also do the order late.
        Ok(_) | Err(_) => {
            let report = crate::router::filter::ask_report(&router.client, record.address).await;
            if let Ok(report) = report {
                let mut endpoints = router.endpoints.lock();
                endpoints.apply_report(&order.endpoint, report, now);
            }
        }
    }
}

async fn send(
    router: &Router,
    to: std::net::SocketAddr,
    order: &LoadOrder,
) -> Result<OrderAnswer, CallError> {
    let mut req = Request::new(Full::new(Bytes::from(order.encode().to_string())));
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
    let (response, connection) = router.client.send(to, req, Reuse::Allowed).await?;
    let status = response.status();
    if response.into_body().collect().await.is_ok() {
        router.client.keep(connection, None);
    }
    Ok(decode_order_answer(status))
}
