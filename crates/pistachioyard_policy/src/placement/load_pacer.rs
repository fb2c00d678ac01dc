//! Rate limit on weight loads, because the weight store has limited throughput.

use std::time::{Duration, Instant};

/// A token bucket for the weight loads that a controller orders.
///
/// Only one controller at a time orders loads. The bucket starts empty, so that a
/// failover to another controller does not double the rate.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    loads_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl LoadPacer {
    /// Creates a pacer. The rate is raised to at least 0.001 per second, and the burst
    /// to at least 1.
    pub fn new(loads_per_second: f64, burst: u32, now: Instant) -> Self {
        Self {
            loads_per_second: loads_per_second.max(1e-3),
            burst: f64::from(burst.max(1)),
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a token for one load and returns whether one was available.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until the next load is allowed.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.refill(now);
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / self.loads_per_second)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let filled = self.tokens + elapsed.as_secs_f64() * self.loads_per_second;
        self.tokens = filled.min(self.burst);
    }
}
