//! Holds what another data centre has told.

use std::time::{Duration, Instant};

/// The age up to which an offer counts in full: four gossip periods, in which an entry hears of
/// each data centre at least once.
const FULL_UNTIL: Duration = Duration::from_secs(1);
/// The age from which an offer counts for nothing.
const NOTHING_FROM: Duration = Duration::from_secs(4);

/// Holds what a data centre offers to others, and how many of its own entries send elsewhere.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CentreNews {
    /// The memory that it offers to all others together, in tokens over all layers.
    pub offered_tokens: f64,
    /// The number of its entries that want to send requests elsewhere.
    pub wanting: usize,
    /// The time at which it was told.
    pub told_at: Instant,
}

impl CentreNews {
    /// Returns the share of an offer that still counts; older news counts for less.
    pub(super) fn weight(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.told_at);
        let left = NOTHING_FROM.saturating_sub(age).as_secs_f64();
        (left / (NOTHING_FROM - FULL_UNTIL).as_secs_f64()).min(1.0)
    }

    /// Returns whether the news has become too old to count.
    pub(super) fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.told_at) >= NOTHING_FROM
    }
}
