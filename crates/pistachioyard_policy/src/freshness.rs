//! Bounds the age of a copy of the store's objects, whatever its watch does.
//!
//! A watch that hangs looks like one that has nothing to tell. So each answer confirms the copy up
//! to a point in time, peers whose copies are the same pass that on, and a copy that nothing has
//! confirmed lately is read again.

use std::time::{Duration, Instant};

/// The share of a propagation limit after which a copy is read again. The rest is left for the
/// read, and for one more if its connection is dead.
const MAX_AGE_SHARE: f64 = 0.8;
/// How long an answer of a sound store may take to arrive.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// Tracks the time up to which a copy is known to hold all changes.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    confirmed_at: Instant,
}

impl Freshness {
    /// Creates the freshness of a copy that is about to be read for the first time.
    pub fn new(now: Instant) -> Self {
        Self { confirmed_at: now }
    }

    /// Records that the copy held all changes at a time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Records the answer to a watch that began at `began` and waits for `wait` unless something
    /// changes.
    ///
    /// The store looks at the changes once more at the end of the wait; the answer to a change
    /// may have been on its way for a while.
    pub fn confirm_watch(&mut self, began: Instant, wait: Duration, now: Instant) {
        let end = began + wait;
        let looked_at = match now >= end {
            true => end,
            false => now
                .checked_sub(ANSWER_TIME)
                .map_or(began, |at| at.max(began)),
        };
        self.confirm(looked_at);
    }

    /// Records that a peer's copy, which is the same, was confirmed `age` ago.
    pub fn confirm_by_peer(&mut self, age: Duration, now: Instant) {
        if let Some(at) = now.checked_sub(age) {
            self.confirm(at);
        }
    }

    /// Returns the time since which changes may have been missed.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at)
    }

    /// Returns when the copy has to be read again so that changes are known within `limit`.
    pub fn expires_at(&self, limit: Duration) -> Instant {
        self.confirmed_at + limit.mul_f64(MAX_AGE_SHARE)
    }
}
