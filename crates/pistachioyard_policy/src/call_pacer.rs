//! Paces calls whose answers may come at once.
//!
//! A loop that makes its next call when an answer has arrived is as fast as the other side. A
//! sound one lets most calls wait; a faulty one may answer thousands a second.

use std::time::{Duration, Instant};

/// Allows a number of calls at once, and one more for each interval that passes.
#[derive(Clone, Copy, Debug)]
pub struct CallPacer {
    burst: u32,
    interval: Duration,
    /// When as many calls as the burst may be made again.
    full_at: Option<Instant>,
}

impl CallPacer {
    /// Creates a pacer that allows `burst` calls at once and then one each `interval`.
    pub const fn new(burst: u32, interval: Duration) -> Self {
        Self {
            burst,
            interval,
            full_at: None,
        }
    }

    /// Takes a call; if none is left, takes nothing and returns the time at which one is.
    pub fn take(&mut self, now: Instant) -> Option<Instant> {
        let full_at = self.full_at.map_or(now, |at| at.max(now)) + self.interval;
        let latest = now + self.interval * self.burst;
        if full_at > latest {
            return Some(now + (full_at - latest));
        }
        self.full_at = Some(full_at);
        None
    }
}
