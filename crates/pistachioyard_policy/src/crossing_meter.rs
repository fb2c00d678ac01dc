//! Bounds what requests pass between data centres.
//!
//! Answers the load pattern of gaps in every data centre at once: the pipes carry
//! far fewer tokens than the cards make, so crossings are a resource with a rate,
//! shared by all entries.

use std::time::{Duration, Instant};

use crate::pipeline::PipelineSpec;

/// The part of what the pipes carry that is given out; the rest absorbs bursts.
const USED_SHARE: f64 = 0.7;
/// The time over which unused capacity adds up.
const BURST: Duration = Duration::from_millis(1_500);

/// This entry's share of the pipes between data centres, as a token bucket.
#[derive(Clone, Debug)]
pub struct CrossingMeter {
    tokens: f64,
    at: Instant,
}

impl CrossingMeter {
    /// Starts with an empty bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            at: now,
        }
    }

    /// Adds what the pipes have carried since the last call, for one of `entries`.
    pub fn refill(&mut self, spec: &PipelineSpec, entries: usize, now: Instant) {
        let rate = token_rate(spec) * USED_SHARE / entries.max(1) as f64;
        let since = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.tokens = (self.tokens + rate * since).min(rate * BURST.as_secs_f64());
    }

    /// Tells whether one more request may cross.
    pub fn has_room(&self) -> bool {
        self.tokens > 0.0
    }

    /// Takes out what a request passes over its crossings.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

/// Returns the tokens a second that can cross once, over all entries.
fn token_rate(spec: &PipelineSpec) -> f64 {
    let Some(mbps) = spec.pipe_mbps else {
        return f64::MAX / 1e6;
    };
    mbps * 1e6 / 8.0 / spec.activation_bytes.max(1.0)
}

/// Returns what a crossing costs a token, in ms.
pub fn crossing_ms(spec: &PipelineSpec) -> f64 {
    let transfer = spec
        .pipe_mbps
        .map_or(0.0, |mbps| spec.activation_bytes * 8.0 / (mbps * 1e3));
    spec.crossing_delay_ms + transfer
}
