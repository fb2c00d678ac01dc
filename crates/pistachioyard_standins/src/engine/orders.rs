//! Handling of the orders that controllers send.

use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::{LayerRange, Order, OrderKind, OrderRefusal, StageFailure};
use tokio::time::Instant;

use super::core::{Core, Engine, HeldModel};

impl Engine {
    /// Applies an order.
    ///
    /// # Errors
    ///
    /// Fails when the fencing token is older than one already seen and this
    /// engine checks fencing tokens, or if the layers exceed the layer capacity.
    pub(crate) fn take_order(self: &Arc<Self>, order: Order) -> Result<(), OrderRefusal> {
        let mut core = self.lock();
        if self.settings.checks_fence && order.fence < core.fence {
            return Err(OrderRefusal::OldFence {
                given: order.fence,
                seen: core.fence,
            });
        }
        if let OrderKind::Hold { layers, .. } = &order.kind
            && layers.len() > self.settings.layer_capacity
        {
            return Err(OrderRefusal::TooManyLayers {
                capacity: self.settings.layer_capacity,
            });
        }
        core.fence = core.fence.max(order.fence);
        core.orders.push(order.clone());
        match order.kind {
            OrderKind::Hold {
                model,
                version,
                layers,
                adapters,
            } => {
                let held = HeldModel {
                    model,
                    version,
                    layers,
                    adapters,
                };
                self.hold(&mut core, held);
            }
            OrderKind::Drain => core.draining = true,
            OrderKind::Undrain => core.draining = false,
        }
        Ok(())
    }

    /// Loads the layers that are not held yet and fails the jobs of layers that are dropped.
    fn hold(self: &Arc<Self>, core: &mut Core, wanted: HeldModel) {
        if core.held.as_ref() == Some(&wanted) {
            return;
        }
        let kept = match &core.held {
            Some(held) if held.model == wanted.model && held.version == wanted.version => {
                shared_layers(held.layers, wanted.layers)
            }
            _ => 0,
        };
        let load_ms = u64::from(wanted.layers.len() - kept) * self.settings.load_ms_per_layer;
        let until = Instant::now() + Duration::from_millis(load_ms);
        // A new order does not shorten a load that is still in progress.
        core.loading_until = core.loading_until.max(Some(until));
        core.held = Some(wanted.clone());
        let affected: Vec<_> = core
            .streams
            .values()
            .filter_map(|stream| stream.job.as_ref())
            .filter(|job| {
                job.request.model != wanted.model
                    || job.request.version != wanted.version
                    || !wanted.layers.covers(job.stage().layers)
            })
            .map(|job| (job.request.stream, job.request.attempt))
            .collect();
        for (stream, attempt) in affected {
            let failure = StageFailure::Refused {
                endpoint: self.settings.endpoint.clone(),
                why: "the endpoint no longer holds the layers of the stage".to_owned(),
            };
            self.fail(core, stream, attempt, failure);
        }
        for stream in core.streams.values_mut() {
            stream.kv = stream.kv.take().filter(|kv| {
                kv.model == wanted.model
                    && kv.version == wanted.version
                    && wanted.layers.covers(kv.layers)
            });
        }
    }
}

/// Returns the number of layers that two ranges have in common.
fn shared_layers(a: LayerRange, b: LayerRange) -> u32 {
    let first = a.first().max(b.first());
    let end = a.end().min(b.end());
    end.saturating_sub(first)
}
