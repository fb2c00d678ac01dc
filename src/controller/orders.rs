//! Orders to endpoints, under the lease and within the weight store's rate.
//!
//! An order states what an endpoint shall hold, so that giving it twice does no
//! harm. Endpoints that check fencing numbers refuse the orders of an earlier
//! holder; at those that ignore them an old order can take effect, and the
//! present holder corrects it once it sees the report.

use std::collections::BTreeMap;

use pistachioyard_policy::{HeldLayers, LoadPacer, PlacementInput};
use pistachioyard_wire::{AdapterName, Fence, Order, OrderKind};

use super::lease::Lease;
use crate::engine::OrderAnswer;
use crate::prelude::*;

/// The weight loads that the weight store allows in a second, over all entries;
/// only the lease's holder orders loads.
const LOADS_PER_SECOND: f64 = 2.0;
/// The loads that may be ordered at once after a pause.
const LOAD_BURST: u32 = 1;
/// The pause before an endpoint is asked for its adapters again, in milliseconds.
const ADAPTER_RETRY_MS: u64 = 5_000;

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Sent {
    /// The endpoint does it.
    Taken,
    /// The endpoint refused it.
    Refused,
    /// Its answer was lost; the report tells.
    Unknown,
    /// It was not sent: the rate or the lease does not allow it now.
    NotNow,
}

/// Gives orders under one fencing number.
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

    /// Returns the fencing number that the orders carry.
    pub(super) fn fence(&self) -> Fence {
        self.fence
    }

    /// Orders an endpoint to hold layers, with the adapters that are configured.
    pub(super) async fn hold(&mut self, endpoint: &EndpointId, hold: &HeldLayers) -> Sent {
        let Ok(active) = self.node.config_for_new_work() else {
            return Sent::NotNow;
        };
        let Some(model) = active.config.models().get(&hold.model) else {
            return Sent::Refused;
        };
        let address = self.node.fleet.lock().get(endpoint).map(|v| v.address());
        let Some(address) = address else {
            return Sent::Refused;
        };
        if !self.pacer.try_take(Instant::now()) {
            return Sent::NotNow;
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
        // The last look before the order leaves: a process that was paused since
        // the round began finds its lease over here.
        if self.lease.fence(Instant::now()) != Some(self.fence) {
            return Sent::NotNow;
        }
        match self.node.engines.order(address, &order).await {
            Ok(OrderAnswer::Accepted) => Sent::Taken,
            Ok(OrderAnswer::Refused(refusal)) => {
                spdlog::warn!("orders: {endpoint} refused: {refusal}");
                Sent::Refused
            }
            Err(e) => {
                spdlog::debug!("orders: {endpoint}: {e}");
                Sent::Unknown
            }
        }
    }
}

/// Has endpoints load the adapters that they lack of the version they hold.
#[derive(Debug, Default)]
pub(super) struct AdapterOrders {
    asked_at: BTreeMap<EndpointId, Instant>,
}

impl AdapterOrders {
    /// Orders the adapters that are missing; layers and streams stay as they are.
    pub(super) async fn order(&mut self, node: &Node, input: &PlacementInput, orders: &mut Orders) {
        let retry = Duration::from_millis(ADAPTER_RETRY_MS);
        self.asked_at.retain(|_, at| at.elapsed() < retry);
        for (endpoint, hold) in lacking(node, input) {
            if self.asked_at.contains_key(&endpoint) {
                continue;
            }
            if orders.hold(&endpoint, &hold).await == Sent::NotNow {
                return;
            }
            self.asked_at.insert(endpoint, Instant::now());
        }
    }
}

/// Returns the ready endpoints that lack a configured adapter, and what they hold.
fn lacking(node: &Node, input: &PlacementInput) -> Vec<(EndpointId, HeldLayers)> {
    let fleet = node.fleet.lock();
    let lacks = |endpoint: &EndpointId, adapters: &[AdapterName]| {
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
            lacks(&endpoint.id, &model.adapters).then(|| (endpoint.id.clone(), held.clone()))
        })
        .collect()
}
