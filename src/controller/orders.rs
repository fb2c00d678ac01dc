//! Sends orders to endpoints, under the lease and within the rate limit of the weight store.
//!
//! An order states what an endpoint is to hold, so it is idempotent. Endpoints that check
//! fencing tokens refuse the orders of an earlier lease holder. Endpoints that ignore them may
//! carry out an old order; the current holder corrects it once it sees the report.

use std::collections::BTreeMap;

use pistachioyard_policy::{HeldLayers, LoadPacer, PlacementInput};
use pistachioyard_wire::{AdapterName, Fence, Order, OrderKind};

use super::lease::Lease;
use crate::engine::OrderAnswer;
use crate::prelude::*;

/// The weight loads per second that the weight store allows for all entries together; only
/// the lease holder orders loads.
const LOADS_PER_SECOND: f64 = 2.0;
/// The number of loads that may be ordered at once after a pause.
const LOAD_BURST: u32 = 1;
/// The pause before an endpoint is ordered to load adapters again, in milliseconds.
const ADAPTER_RETRY_MS: u64 = 5_000;

/// Says what became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderOutcome {
    /// The endpoint accepted it.
    Accepted,
    /// The endpoint refused it, or it cannot be sent because its model or endpoint is unknown.
    Refused,
    /// The call failed; the endpoint's report will show whether the order took effect.
    Unknown,
    /// It was not sent, since the rate limit, the lease or the configuration does not allow it
    /// now.
    NotSent,
}

/// Sends orders under one fencing token.
pub(super) struct Orders {
    node: Arc<Node>,
    lease: Arc<Lease>,
    fence: Fence,
    pacer: LoadPacer,
}

impl Orders {
    pub(super) fn new(node: Arc<Node>, lease: Arc<Lease>, fence: Fence, now: Instant) -> Self {
        Self {
            node,
            lease,
            fence,
            pacer: LoadPacer::new(LOADS_PER_SECOND, LOAD_BURST, now),
        }
    }

    /// Returns the fencing token that the orders carry.
    pub(super) fn fence(&self) -> Fence {
        self.fence
    }

    /// Orders an endpoint to hold layers of a model, with the configured adapters.
    pub(super) async fn hold(&mut self, endpoint: &EndpointId, hold: &HeldLayers) -> OrderOutcome {
        let Ok(active) = self.node.config_for_new_work() else {
            return OrderOutcome::NotSent;
        };
        let Some(model) = active.config.models().get(&hold.model) else {
            return OrderOutcome::Refused;
        };
        let address = self.node.fleet.lock().get(endpoint).map(|v| v.address());
        let Some(address) = address else {
            return OrderOutcome::Refused;
        };
        if !self.pacer.try_take(Instant::now()) {
            return OrderOutcome::NotSent;
        }
        let order = Order {
            fence: self.fence,
            from: self.node.settings.entry.clone(),
            kind: OrderKind::Hold {
                model: hold.model.clone(),
                version: hold.version.clone(),
                layers: hold.layers,
                adapters: model.adapters.clone(),
            },
        };
        // Checked again just before sending: if the process was paused since the round began,
        // its lease may have expired.
        if self.lease.fence(Instant::now()) != Some(self.fence) {
            return OrderOutcome::NotSent;
        }
        match self.node.engines.order(address, &order).await {
            Ok(OrderAnswer::Accepted) => OrderOutcome::Accepted,
            Ok(OrderAnswer::Refused(refusal)) => {
                spdlog::warn!("orders: {endpoint} refused the order: {refusal}");
                OrderOutcome::Refused
            }
            Err(e) => {
                spdlog::debug!("orders: no confirmation from {endpoint}: {e}");
                OrderOutcome::Unknown
            }
        }
    }
}

/// Orders endpoints to load the missing adapters of the version that they hold.
#[derive(Debug, Default)]
pub(super) struct AdapterOrders {
    ordered_at: BTreeMap<EndpointId, Instant>,
}

impl AdapterOrders {
    /// Orders the missing adapters; layers and streams are not affected.
    pub(super) async fn order(&mut self, node: &Node, input: &PlacementInput, orders: &mut Orders) {
        let retry = Duration::from_millis(ADAPTER_RETRY_MS);
        self.ordered_at.retain(|_, at| at.elapsed() < retry);
        for (endpoint, hold) in endpoints_missing_adapters(node, input) {
            if self.ordered_at.contains_key(&endpoint) {
                continue;
            }
            if orders.hold(&endpoint, &hold).await == OrderOutcome::NotSent {
                return;
            }
            self.ordered_at.insert(endpoint, Instant::now());
        }
    }
}

/// Returns the ready endpoints that lack a configured adapter, with the layers they hold.
fn endpoints_missing_adapters(
    node: &Node,
    input: &PlacementInput,
) -> Vec<(EndpointId, HeldLayers)> {
    let fleet = node.fleet.lock();
    let is_missing = |endpoint: &EndpointId, adapters: &[AdapterName]| {
        let report = fleet.get(endpoint).and_then(|view| view.report());
        report.is_some_and(|r| adapters.iter().any(|a| !r.adapters.contains(a)))
    };
    let ready = input.endpoints.iter().filter(|e| e.usable && !e.loading);
    ready
        .filter_map(|endpoint| {
            let held = endpoint.current.as_ref()?;
            let model = input.models.iter().find(|m| {
                m.name == held.model && m.version == held.version && held.layers.end() <= m.layers
            })?;
            is_missing(&endpoint.id, &model.adapters).then(|| (endpoint.id.clone(), held.clone()))
        })
        .collect()
}
