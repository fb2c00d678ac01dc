//! Finds out which endpoint of a path has refused a request, and ejects it for a while.

use pistachioyard_platform::AnswerHead;
use pistachioyard_policy::{EndpointRegistry, SuspectReason};

use super::PathRun;
use crate::prelude::*;

/// The share of an endpoint's memory in use below which a refusal cannot be due to lack of
/// memory. The margin allows for the lag of this entry's load data.
const NOT_FULL_SHARE: f64 = 0.6;

impl PathRun {
    /// Ejects the endpoint that the refusal names, or the first one if it names none.
    pub(super) fn note_refusal(&self, head: &AnswerHead) {
        let named = head.at_fault.and_then(|at| self.endpoint_at(at));
        let first = &self.path.stages[0].endpoint;
        let at_fault = named.unwrap_or_else(|| first.clone());
        let now = Instant::now();
        let mut endpoints = self.router.endpoints.lock();
        let load = self.router.load.lock();
        let used = load.token_layers(&at_fault);
        let capacity = self.capacity_of(&endpoints, &at_fault);
        spdlog::info!("endpoints: refused a request", kv: {
            endpoint = at_fault.as_str(), status = head.status.as_u16(),
            requests_there = load.requests(&at_fault), token_layers_there = used as u64,
            token_layers_room = capacity as u64
        });
        drop(load);
        match (head.is_other_endpoint, at_fault == *first) {
            (true, true) => endpoints.mark_unavailable(&at_fault),
            (true, false) => {
                drop(endpoints);
                self.router.suspect(&at_fault, SuspectReason::OtherLayers);
            }
            (false, _) => {
                let has_memory = used < capacity * NOT_FULL_SHARE;
                endpoints.note_refusal(&at_fault, has_memory, now);
                if has_memory {
                    drop(endpoints);
                    self.router
                        .suspect(&at_fault, SuspectReason::RefusedRequest);
                }
            }
        }
    }

    /// Returns how many token-layers fit into an endpoint's memory; 0 if unknown.
    fn capacity_of(&self, endpoints: &EndpointRegistry, endpoint: &EndpointId) -> f64 {
        let capacity = endpoints.get(endpoint).and_then(|record| {
            let state = &record.state;
            let spec = self.spec.as_ref()?;
            let card = spec.cards.get(state.card.as_ref()?)?;
            Some(spec.token_layer_capacity(card, state.layers?.len()))
        });
        capacity.unwrap_or_default()
    }
}
