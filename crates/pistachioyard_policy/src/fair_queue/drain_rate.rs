//! How fast waiting requests are worked off.

use std::time::{Duration, Instant};

/// An exponentially weighted rate of completions while there is work.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    time_constant: Duration,
    /// Completions and the busy seconds that they took, both decayed.
    completions: f64,
    busy_s: f64,
    /// The last completion, or none while idle.
    last: Option<Instant>,
}

impl DrainRate {
    /// Starts without knowledge; what is older than `time_constant` counts little.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            completions: 0.0,
            busy_s: 0.0,
            last: None,
        }
    }

    /// Counts a completed request.
    pub fn on_completion(&mut self, now: Instant) {
        if self.last.is_some() {
            (self.completions, self.busy_s) = self.decayed(now);
            self.completions += 1.0;
        }
        self.last = self.last.max(Some(now));
    }

    /// Notes that nothing waits or runs, so that idle time does not count as slow.
    pub fn on_idle(&mut self) {
        self.last = None;
    }

    /// Estimates how long `ahead` requests take.
    ///
    /// It is zero where nothing is known yet, since that is no reason to refuse.
    /// Time without completions while there is work lengthens it.
    pub fn estimated_wait(&self, ahead: usize, now: Instant) -> Duration {
        let (completions, busy_s) = self.decayed(now);
        if self.completions <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead as f64 * busy_s / completions).unwrap_or(Duration::MAX)
    }

    fn decayed(&self, now: Instant) -> (f64, f64) {
        let Some(last) = self.last else {
            return (self.completions, self.busy_s);
        };
        let passed_s = now.saturating_duration_since(last).as_secs_f64();
        let kept = (-passed_s / self.time_constant.as_secs_f64().max(f64::EPSILON)).exp();
        (self.completions * kept, self.busy_s * kept + passed_s)
    }
}
