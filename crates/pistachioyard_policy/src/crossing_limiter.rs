//! Limits the rate at which requests send tokens between data centres.
//!
//! Requests have to cross when every data centre lacks some layers. The links between data
//! centres carry far fewer tokens than the cards produce, so crossings are a rate-limited
//! resource that all entries share.

use std::time::{Duration, Instant};

use crate::pipeline::PipelineSpec;

/// The share of the link capacity that is given out; the rest absorbs bursts.
const USED_SHARE: f64 = 0.7;
/// The time over which unused capacity accumulates.
const BURST: Duration = Duration::from_millis(1_500);

/// Holds this entry's share of the links between data centres, as a token bucket.
///
/// The unit of the bucket is one model token that crosses once.
#[derive(Clone, Debug)]
pub struct CrossingLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl CrossingLimiter {
    /// Creates a limiter with an empty bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Adds this entry's share of the link capacity since the last refill.
    ///
    /// `entries` is the number of entries that share the links.
    pub fn refill(&mut self, spec: &PipelineSpec, entries: usize, now: Instant) {
        let rate = token_rate(spec) * USED_SHARE / entries.max(1) as f64;
        let since = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + rate * since).min(rate * BURST.as_secs_f64());
    }

    /// Returns whether one more request may cross.
    pub fn has_room(&self) -> bool {
        self.tokens > 0.0
    }

    /// Takes the tokens that a request sends over its crossings; the bucket may go into debt.
    pub fn take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}

/// Returns how many token crossings per second the links can carry for all entries together.
fn token_rate(spec: &PipelineSpec) -> f64 {
    let Some(mbps) = spec.pipe_mbps else {
        return f64::MAX / 1e6;
    };
    mbps * 1e6 / 8.0 / spec.activation_bytes.max(1.0)
}

/// Returns the time that a crossing adds to each token, in ms.
pub fn crossing_ms(spec: &PipelineSpec) -> f64 {
    let transfer = spec
        .pipe_mbps
        .map_or(0.0, |mbps| spec.activation_bytes * 8.0 / (mbps * 1e3));
    spec.crossing_delay_ms + transfer
}
