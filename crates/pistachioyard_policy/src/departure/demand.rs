//! Follows how much memory a data centre's own callers need.

use std::time::{Duration, Instant};

/// The time over which the demand is averaged: several times as long as a request stays, so that
/// a lull between two waves of callers is not offered to others.
const AVERAGED_OVER: Duration = Duration::from_secs(4);
/// The number of mean deviations that are kept free.
const DEVIATIONS: f64 = 3.0;

/// Holds the averages of the tokens that a data centre's own callers use.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    mean: f64,
    deviation: f64,
    noted_at: Option<Instant>,
}

impl Demand {
    /// Records the tokens in use at this moment.
    pub(super) fn note(&mut self, tokens: f64, now: Instant) {
        let Some(noted_at) = self.noted_at.replace(now) else {
            self.mean = tokens;
            return;
        };
        let weight = weight_of(now.saturating_duration_since(noted_at), AVERAGED_OVER);
        self.deviation += ((tokens - self.mean).abs() - self.deviation) * weight;
        self.mean += (tokens - self.mean) * weight;
    }

    /// Returns the tokens that own callers may come to need beyond the `tokens` that they use.
    pub(super) fn growth(&self, tokens: f64) -> f64 {
        (self.mean - tokens).max(0.0) + DEVIATIONS * self.deviation
    }
}

/// Returns the weight of a new value in an average over a time, after a pause since the last one.
pub(super) fn weight_of(pause: Duration, averaged_over: Duration) -> f64 {
    1.0 - (-pause.as_secs_f64() / averaged_over.as_secs_f64()).exp()
}
