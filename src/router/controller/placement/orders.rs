//! Sends load orders to endpoints and handles their answers.

use futures_util::future::join_all;
use pistachioyard_platform::{LoadOrder, OrderAnswer};
use pistachioyard_policy::{EndpointRecord, LayerMove, PipelineSpec, SuspectReason};
use pistachioyard_wire::Fence;

use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_order::post_order;
use crate::router::filter::fetch_report;

/// How long an endpoint may take to answer an order; a healthy one answers within a few ms.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum number of times an order is sent in one round.
const MAX_TRIES: u32 = 2;
/// How often an endpoint is polled once its load should have finished.
const LOAD_POLL_PERIOD: Duration = Duration::from_millis(250);
/// The extra time allowed for a load, since concurrent loads slow each other down and the
/// endpoint's record in the store lags behind.
const LOAD_SLACK: Duration = Duration::from_millis(3_000);

/// Sends all due orders concurrently; returns whether an endpoint refused one since it has seen a
/// higher fencing token.
pub(super) async fn send_all(
    router: &Arc<Router>,
    spec: &PipelineSpec,
    moves: &[LayerMove],
    fence: Fence,
) -> bool {
    let sent = moves
        .iter()
        .map(|order| send_with_retry(router, spec, order, fence));
    join_all(sent).await.contains(&true)
}

/// Sends an order; returns whether it was refused since the endpoint has seen a higher fencing token.
async fn send_with_retry(
    router: &Arc<Router>,
    spec: &PipelineSpec,
    order: &LayerMove,
    fence: Fence,
) -> bool {
    // An endpoint that refuses because it has begun other orders is asked for its state, and
    // gets the order once more if that state still fits.
    for _ in 0..MAX_TRIES {
        let record = router.endpoints.lock().get(&order.endpoint).cloned();
        let Some(record) = record else {
            return false;
        };
        let answer = send_order(router, &record, order, fence).await;
        let is_conflict = matches!(answer, Ok(OrderAnswer::Conflict));
        let is_fenced = matches!(answer, Ok(OrderAnswer::Fenced));
        handle_answer(router, spec, order, &record, answer).await;
        let now_held = router.endpoints.lock().get(&order.endpoint).map(|record| {
            let state = &record.state;
            (state.layers, state.is_moving)
        });
        if !is_conflict || now_held != Some((record.state.layers, false)) {
            return is_fenced;
        }
    }
    false
}

async fn send_order(
    router: &Router,
    record: &EndpointRecord,
    order: &LayerMove,
    fence: Fence,
) -> Result<OrderAnswer, CallError> {
    let load_order = LoadOrder {
        layers: order.layers,
        fence,
        orders_begun: record.state.orders_begun,
    };
    let order_body = load_order.encode();
    let answered = post_order(
        router,
        &record.endpoint,
        record.address,
        &order_body,
        ORDER_TIMEOUT,
    )
    .await;
    let answer = answered.map(|(answer, _)| answer);
    let held = record
        .state
        .layers
        .map(|l| l.to_string())
        .unwrap_or_default();
    let outcome = match &answer {
        Ok(answer) => format!("{answer:?}"),
        Err(e) => e.to_string(),
    };
    spdlog::info!("placement: order sent", kv: {
        endpoint = order.endpoint.as_str(), layers = order.layers.to_string().as_str(),
        held = held.as_str(), orders_begun = record.state.orders_begun, fence = fence.0,
        outcome = outcome.as_str()
    });
    answer
}

async fn handle_answer(
    router: &Arc<Router>,
    spec: &PipelineSpec,
    order: &LayerMove,
    record: &EndpointRecord,
    answer: Result<OrderAnswer, CallError>,
) {
    let now = Instant::now();
    match answer {
        Ok(OrderAnswer::Begun) => {
            let load = spec.load_time(order.layers.len());
            let until = now + load * 2 + LOAD_SLACK;
            let mut endpoints = router.endpoints.lock();
            endpoints.note_order(&order.endpoint, order.layers, until, now);
            drop(endpoints);
            tokio::spawn(track_load(router.clone(), order.endpoint.clone(), load));
        }
        Err(CallError::NotSent { .. } | CallError::Refused { .. }) => {
            router.suspect(&order.endpoint, SuspectReason::NoAnswer);
        }
        // The endpoint may still execute the order, so the next round plans with its new state.
        Ok(_) | Err(_) => {
            let (endpoint, to) = (&record.endpoint, record.address);
            if let Ok(report) = fetch_report(router, endpoint, to, ORDER_TIMEOUT).await {
                let mut endpoints = router.endpoints.lock();
                endpoints.apply_report(&order.endpoint, report, now);
            }
        }
    }
}

/// Polls an endpoint until its load has finished, so that the layers are used as soon as
/// they are loaded, even while the store is unreachable.
async fn track_load(router: Arc<Router>, endpoint: EndpointId, load: Duration) {
    let began_at = Instant::now();
    tokio::time::sleep(load).await;
    while began_at.elapsed() < load * 2 + LOAD_SLACK {
        let record = router.endpoints.lock().get(&endpoint).cloned();
        let Some(record) = record.filter(|record| record.state.is_moving) else {
            return;
        };
        let (asked, to) = (&record.endpoint, record.address);
        if let Ok(report) = fetch_report(&router, asked, to, ORDER_TIMEOUT).await {
            let mut endpoints = router.endpoints.lock();
            endpoints.apply_report(&endpoint, report, Instant::now());
        }
        router.capacity_changed.notify_waiters();
        // Other loads may be waiting for this one to finish.
        router.endpoints_changed.notify_one();
        tokio::time::sleep(LOAD_POLL_PERIOD).await;
    }
}
