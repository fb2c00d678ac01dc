//! Selects the endpoint for a request to a plain service, one without a pipeline.
//!
//! The endpoint with the least expected latency wins. The estimate uses the answers of the
//! last seconds and the requests in flight, so that endpoints that have become slow are
//! avoided. It returns to a default over time, so that a slow endpoint is tried again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EndpointId};
use rand::Rng;

use crate::endpoint_registry::EndpointRecord;
use crate::pipeline::LoadTracker;

/// The weight of a new answer in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.3;
/// The time in which an estimate's deviation from the default halves.
const DECAY_HALF_LIFE: Duration = Duration::from_secs(3);
/// The latency that is assumed of an endpoint that has not answered yet, in ms.
const DEFAULT_LATENCY_MS: f64 = 30.0;
/// The added cost of a request to another data centre, in ms.
const REMOTE_PENALTY_MS: f64 = 2.0;
/// The maximum share by which costs are raised at random, so that entries that see the same
/// load do not all choose the same endpoint.
const JITTER: f64 = 0.2;

/// Holds latency estimates of the endpoints of plain services.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    means: HashMap<EndpointId, (f64, Instant)>,
}

impl LatencyEstimates {
    /// Records how long an answer took, or how long the caller has waited for one so far.
    pub fn record(&mut self, endpoint: &EndpointId, took: Duration, now: Instant) {
        let previous = self.expected_ms(endpoint, now);
        let mean = previous + SAMPLE_WEIGHT * (took.as_secs_f64() * 1e3 - previous);
        self.means.insert(endpoint.clone(), (mean, now));
    }

    /// Returns the expected latency of an answer, in ms.
    pub fn expected_ms(&self, endpoint: &EndpointId, now: Instant) -> f64 {
        let Some((mean, at)) = self.means.get(endpoint) else {
            return DEFAULT_LATENCY_MS;
        };
        let age = now.saturating_duration_since(*at).as_secs_f64();
        let remaining = 0.5f64.powf(age / DECAY_HALF_LIFE.as_secs_f64());
        DEFAULT_LATENCY_MS + (mean - DEFAULT_LATENCY_MS) * remaining
    }

    /// Removes the estimates of endpoints that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.means.retain(|endpoint, _| is_known(endpoint));
    }
}

/// Selects the endpoint with the least expected latency.
pub fn choose_plain_endpoint<'a>(
    endpoints: &[&'a EndpointRecord],
    latency: &LatencyEstimates,
    load: &LoadTracker,
    home: &DataCentre,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<&'a EndpointRecord> {
    let mut cost = |endpoint: &EndpointRecord| {
        let requests = f64::from(load.requests(&endpoint.endpoint));
        let slots = f64::from(endpoint.slots.max(1));
        let load_factor = 1.0 + requests / slots + (requests - slots + 1.0).max(0.0);
        let remote_penalty_ms = if endpoint.data_centre == *home {
            0.0
        } else {
            REMOTE_PENALTY_MS
        };
        let expected =
            latency.expected_ms(&endpoint.endpoint, now) * load_factor + remote_penalty_ms;
        expected * rng.random_range(1.0..1.0 + JITTER)
    };
    let costs = endpoints.iter().map(|endpoint| (cost(endpoint), *endpoint));
    costs
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, endpoint)| endpoint)
}
