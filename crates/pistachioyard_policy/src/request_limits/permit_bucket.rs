//! A token bucket of permits.

use std::time::{Duration, Instant};

/// The time over which unused permits accumulate, beyond the one that any bucket can hold.
const BURST: Duration = Duration::from_millis(500);
/// The longest time until a permit that is told.
const MAX_RETRY_S: f64 = 3_600.0;
/// Absorbs rounding, so that a permit is there when its time has come.
const EPSILON: f64 = 1e-6;

/// Holds the permits of one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitBucket {
    permits: f64,
    filled_at: Instant,
}

impl PermitBucket {
    /// Creates a bucket with one permit.
    pub(super) fn with_one(now: Instant) -> Self {
        Self {
            permits: 1.0,
            filled_at: now,
        }
    }

    /// Empties the bucket, which is filled from `from` on.
    pub(super) fn empty(&mut self, from: Instant) {
        self.permits = 0.0;
        self.filled_at = from;
    }

    /// Takes a permit; if there is none, returns the time until the next one.
    pub(super) fn take(&mut self, per_second: f64, now: Instant) -> Result<(), Duration> {
        let since = now.saturating_duration_since(self.filled_at);
        let most = 1.0 + per_second * BURST.as_secs_f64();
        self.permits = (self.permits + per_second * since.as_secs_f64()).min(most);
        self.filled_at = self.filled_at.max(now);
        if self.permits >= 1.0 - EPSILON {
            self.permits -= 1.0;
            return Ok(());
        }
        let retry_s = (1.0 - self.permits) / per_second;
        Err(Duration::from_secs_f64(retry_s.clamp(0.0, MAX_RETRY_S)))
    }
}
