//! Pacing of weight loads, which the weight store limits.

use std::time::{Duration, Instant};

/// A token bucket over the weight loads that a controller orders.
///
/// One controller at a time orders loads for all entries. Its bucket starts
/// empty, so that a change of controller does not double the rate.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    loads_per_second: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl LoadPacer {
    /// Makes a pacer of a rate and a burst, both at least a little above zero.
    pub fn new(loads_per_second: f64, burst: u32, now: Instant) -> Self {
        Self {
            loads_per_second: loads_per_second.max(1e-3),
            burst: f64::from(burst.max(1)),
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Takes one load if the rate allows it now.
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the time until the next load is allowed.
    pub fn wait(&mut self, now: Instant) -> Duration {
        self.fill(now);
        Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / self.loads_per_second)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let filled = self.tokens + passed.as_secs_f64() * self.loads_per_second;
        self.tokens = filled.min(self.burst);
    }
}
