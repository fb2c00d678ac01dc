//! Estimate of the rate at which requests complete.

use std::time::{Duration, Instant};

/// An exponentially weighted rate of completions, measured over busy time only.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    time_constant: Duration,
    /// The completions and the busy seconds that they took, both decayed.
    completions: f64,
    busy_s: f64,
    /// The time of the last completion; none while idle.
    last_completion: Option<Instant>,
}

impl DrainRate {
    /// Creates a rate without samples; samples decay exponentially with
    /// `time_constant`.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            completions: 0.0,
            busy_s: 0.0,
            last_completion: None,
        }
    }

    /// Records a completed request.
    ///
    /// The first one after idle time only starts the busy time and is not counted.
    pub fn on_completion(&mut self, now: Instant) {
        if self.last_completion.is_some() {
            (self.completions, self.busy_s) = self.decayed(now);
            self.completions += 1.0;
        }
        self.last_completion = self.last_completion.max(Some(now));
    }

    /// Records that nothing waits or runs, so that idle time does not lower the rate.
    pub fn on_idle(&mut self) {
        self.last_completion = None;
    }

    /// Estimates how long `ahead` requests take to complete.
    ///
    /// Returns zero while there are no samples, because callers refuse requests on
    /// a long estimate and missing data is no reason to refuse. Busy time without
    /// completions raises the estimate.
    pub fn estimated_wait(&self, ahead: usize, now: Instant) -> Duration {
        let (completions, busy_s) = self.decayed(now);
        if self.completions <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(ahead as f64 * busy_s / completions).unwrap_or(Duration::MAX)
    }

    fn decayed(&self, now: Instant) -> (f64, f64) {
        let Some(last) = self.last_completion else {
            return (self.completions, self.busy_s);
        };
        let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
        let decay = (-elapsed_s / self.time_constant.as_secs_f64().max(f64::EPSILON)).exp();
        (self.completions * decay, self.busy_s * decay + elapsed_s)
    }
}
