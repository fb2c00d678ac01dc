//! Waits for the endpoints of a service that start together.

use std::time::{Duration, Instant};

use pistachioyard_wire::ServiceName;

use super::EndpointRegistry;

/// How many settle times the first endpoint that joined waits for others. Endpoints that keep
/// starting again must not hold up those that run.
const MAX_SETTLE_TIMES: u32 = 4;

impl EndpointRegistry {
    /// Returns whether a service is still starting up: none of its endpoints holds layers, the
    /// newest joined less than `settle` ago, and the oldest not much longer ago.
    ///
    /// Placing layers now would crowd them onto the few endpoints that joined first.
    pub fn is_starting_up(&self, service: &ServiceName, settle: Duration, now: Instant) -> bool {
        let of_service = self.by_id.values().filter(|t| t.record.service == *service);
        let (mut is_any_new, mut is_any_old) = (false, false);
        for tracked in of_service {
            if tracked.record.state.layers.is_some() || tracked.pending_order.is_some() {
                return false;
            }
            let age = now.saturating_duration_since(tracked.joined_at);
            is_any_new |= age < settle;
            is_any_old |= age >= settle * MAX_SETTLE_TIMES;
        }
        is_any_new && !is_any_old
    }
}
