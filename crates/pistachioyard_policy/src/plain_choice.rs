//! Chooses the endpoint of a request to a plain service.
//!
//! Answers the load pattern of a few small endpoints of which some have turned slow:
//! the expected time, from the answers of the last seconds and the requests in
//! flight, decides. A slow endpoint is forgiven with time, so it is tried again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EndpointId};
use rand::Rng;

use crate::endpoint_book::EndpointRecord;
use crate::pipeline::LoadTracker;

/// The weight of a new answer in the running mean.
const NEW_WEIGHT: f64 = 0.3;
/// The time in which half of a deviation from the usual pace is forgiven.
const FORGIVE_HALF_LIFE: Duration = Duration::from_secs(3);
/// The pace that is assumed of an endpoint that has not answered yet, in ms.
const USUAL_MS: f64 = 30.0;
/// What a request at another data centre costs, in ms.
const AWAY_MS: f64 = 2.0;
/// The share by which costs are varied at random against herding.
const JITTER: f64 = 0.2;

/// How fast the endpoints of plain services have answered lately.
#[derive(Clone, Debug, Default)]
pub struct PlainPace {
    means: HashMap<EndpointId, (f64, Instant)>,
}

impl PlainPace {
    /// Notes how long an answer took, or how long one has been waited for.
    pub fn note(&mut self, endpoint: &EndpointId, took: Duration, now: Instant) {
        let before = self.ms(endpoint, now);
        let mean = before + NEW_WEIGHT * (took.as_secs_f64() * 1e3 - before);
        self.means.insert(endpoint.clone(), (mean, now));
    }

    /// Returns the expected time of an answer, in ms.
    pub fn ms(&self, endpoint: &EndpointId, now: Instant) -> f64 {
        let Some((mean, at)) = self.means.get(endpoint) else {
            return USUAL_MS;
        };
        let age = now.saturating_duration_since(*at).as_secs_f64();
        let kept = 0.5f64.powf(age / FORGIVE_HALF_LIFE.as_secs_f64());
        USUAL_MS + (mean - USUAL_MS) * kept
    }

    /// Forgets endpoints that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&EndpointId) -> bool) {
        self.means.retain(|endpoint, _| is_known(endpoint));
    }
}

/// Chooses the endpoint with the least expected time.
pub fn choose_plain<'a>(
    endpoints: &[&'a EndpointRecord],
    pace: &PlainPace,
    load: &LoadTracker,
    home: &DataCentre,
    now: Instant,
    rng: &mut impl Rng,
) -> Option<&'a EndpointRecord> {
    let mut cost = |endpoint: &EndpointRecord| {
        let requests = f64::from(load.requests(&endpoint.endpoint));
        let slots = f64::from(endpoint.slots.max(1));
        let rounds = 1.0 + requests / slots + (requests - slots + 1.0).max(0.0);
        let away_ms = if endpoint.data_centre == *home {
            0.0
        } else {
            AWAY_MS
        };
        let expected = pace.ms(&endpoint.endpoint, now) * rounds + away_ms;
        expected * rng.random_range(1.0..1.0 + JITTER)
    };
    let costs = endpoints.iter().map(|endpoint| (cost(endpoint), *endpoint));
    costs
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, endpoint)| endpoint)
}
