//! Link times between data centres, and degraded links between endpoints.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EndpointId};

/// The default link time within a data centre, in milliseconds.
const LOCAL_LINK_MS: f64 = 0.1;
/// The default link time between data centres, in milliseconds.
const REMOTE_LINK_MS: f64 = 1.0;
/// The weight of a new observation in the moving average.
const LINK_EWMA_WEIGHT: f64 = 0.2;
/// How long a degraded link is avoided.
const DEGRADED_LINK_AVOIDANCE: Duration = Duration::from_secs(10);

/// Holds smoothed link times and degraded links.
#[derive(Debug, Default)]
pub(super) struct Links {
    average_ms: BTreeMap<DataCentre, BTreeMap<DataCentre, f64>>,
    degraded: BTreeMap<EndpointId, BTreeMap<EndpointId, Instant>>,
}

impl Links {
    /// Updates the moving average with an observation; negative and non-finite values
    /// are ignored.
    pub(super) fn observe(&mut self, from: &DataCentre, to: &DataCentre, ms: f64) {
        if !ms.is_finite() || ms < 0.0 {
            return;
        }
        self.average_ms
            .entry(from.clone())
            .or_default()
            .entry(to.clone())
            .and_modify(|average| *average += LINK_EWMA_WEIGHT * (ms - *average))
            .or_insert(ms);
    }

    /// Returns the moving average, or a default if nothing was observed.
    pub(super) fn link_ms(&self, from: &DataCentre, to: &DataCentre) -> f64 {
        let assumed = if from == to {
            LOCAL_LINK_MS
        } else {
            REMOTE_LINK_MS
        };
        self.average_ms
            .get(from)
            .and_then(|row| row.get(to))
            .copied()
            .unwrap_or(assumed)
    }

    /// Marks a link as degraded and drops expired marks.
    pub(super) fn set_degraded(&mut self, from: &EndpointId, to: &EndpointId, now: Instant) {
        for row in self.degraded.values_mut() {
            row.retain(|_, until| *until > now);
        }
        self.degraded.retain(|_, row| !row.is_empty());
        self.degraded
            .entry(from.clone())
            .or_default()
            .insert(to.clone(), now + DEGRADED_LINK_AVOIDANCE);
    }

    /// Returns whether the link is avoided now.
    pub(super) fn is_degraded(&self, from: &EndpointId, to: &EndpointId, now: Instant) -> bool {
        self.degraded
            .get(from)
            .and_then(|row| row.get(to))
            .is_some_and(|until| *until > now)
    }

    /// Returns whether any link is avoided now.
    pub(super) fn has_degraded(&self, now: Instant) -> bool {
        self.degraded
            .values()
            .flat_map(BTreeMap::values)
            .any(|until| *until > now)
    }
}
