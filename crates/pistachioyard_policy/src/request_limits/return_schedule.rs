//! Spreads the returns of refused callers over the permits to come.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The span over which this entry's permits are counted.
const WINDOW: Duration = Duration::from_secs(2);
/// The longest time that a caller is told to wait.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// The maximum number of permits that are counted.
const MAX_PERMITS: usize = 1_024;

/// Tells refused callers of one service when there will be a permit for them.
///
/// Callers that were all told the time of the next permit would return together, and all but
/// one would be refused again.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    permits: VecDeque<Instant>,
    last_return: Option<Instant>,
}

impl ReturnSchedule {
    /// Counts a permit.
    pub fn note_permit(&mut self, now: Instant) {
        if self.permits.len() >= MAX_PERMITS {
            self.permits.pop_front();
        }
        self.permits.push_back(now);
    }

    /// Returns the time after which a refused caller may return.
    ///
    /// `next_permit` is the time until there is a permit at all, and `least_rate` the permits a
    /// second that this entry gets at least.
    pub fn book(&mut self, next_permit: Duration, least_rate: f64, now: Instant) -> Duration {
        while self.permits.front().is_some_and(|at| *at + WINDOW < now) {
            self.permits.pop_front();
        }
        let rate = (self.permits.len() as f64 / WINDOW.as_secs_f64()).max(least_rate);
        let interval_s = MAX_WAIT.as_secs_f64().min(1.0 / rate.max(f64::EPSILON));
        let interval = Duration::from_secs_f64(interval_s);
        let first = now + next_permit;
        let after_last = self.last_return.map(|last| last + interval);
        let at = after_last
            .map_or(first, |at| at.max(first))
            .min(now + MAX_WAIT);
        self.last_return = Some(at);
        at - now
    }
}
