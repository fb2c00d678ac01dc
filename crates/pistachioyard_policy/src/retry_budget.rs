//! Limits retries to a share of first tries.
//!
//! When many requests fail at once, unlimited retries would multiply the load on the
//! remaining endpoints. See `docs/design/admission.md`.

use std::time::{Duration, Instant};

/// The units of one retry; an integer scale lets fractions of a retry add up exactly.
const UNITS_PER_RETRY: i64 = 1_000_000;

/// A token bucket that first tries fill and retries drain.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Below zero if more was used than a smaller capacity holds.
    units: i64,
    max_units: i64,
    units_per_first_try: i64,
}

impl RetryBudget {
    /// Creates a full bucket of `burst` retries, to which each first try adds `share` of a
    /// retry.
    pub fn new(share: f64, burst: f64) -> Self {
        let max_units = to_units(burst);
        Self {
            units: max_units,
            max_units,
            units_per_first_try: to_units(share),
        }
    }

    /// Adds retries that accrue over time, independently of first tries.
    fn refill(&mut self, retries: f64) {
        self.units = (self.units + to_units(retries)).min(self.max_units);
    }

    /// Sets the capacity of the bucket; retries that no longer fit are lost.
    ///
    /// Entries that share one budget divide the burst by their number, which changes.
    pub fn set_burst(&mut self, burst: f64) {
        let max_units = to_units(burst);
        // Keeps the number of used retries, so that changing the capacity gives none back.
        self.units += max_units - self.max_units;
        self.max_units = max_units;
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.units = (self.units + self.units_per_first_try).min(self.max_units);
    }

    /// Returns whether the bucket holds a retry.
    pub fn has_retry(&self) -> bool {
        self.units >= UNITS_PER_RETRY
    }

    /// Returns the number of retries in the bucket, with what has accrued of the next one.
    fn left(&self) -> f64 {
        self.units as f64 / UNITS_PER_RETRY as f64
    }

    /// Takes one retry from the bucket; returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        let has_retry = self.has_retry();
        if has_retry {
            self.units -= UNITS_PER_RETRY;
        }
        has_retry
    }
}

/// The share of a shared budget that is handed out. The rest is a margin, because the
/// entries and the checks of the budget count requests at slightly different times.
const GRANTED_SHARE: f64 = 0.9;
/// The share of the slack that is available at once. The rest accrues over the window, so that
/// no span of that length allows more than the slack.
const BURST_SHARE: f64 = 0.5;

/// Holds one entry's part of a retry budget that all entries share: in every window, a share
/// of the first tries plus a fixed number of retries, the slack.
///
/// The shared budget holds even when many entries lose the same endpoints at once, and right
/// after they restart. Retries from before a restart still count, but the new process does not
/// know of them, so it starts with an empty bucket.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    bucket: RetryBudget,
    slack: f64,
    window: Duration,
    rebalanced_at: Instant,
}

impl SharedRetryBudget {
    /// Creates this entry's part; the bucket is empty unless `is_first`, which says that all
    /// entries are starting for the first time.
    pub fn new(share: f64, slack: f64, window: Duration, is_first: bool, now: Instant) -> Self {
        let slack = slack * GRANTED_SHARE;
        let mut bucket = RetryBudget::new(share * GRANTED_SHARE, slack * BURST_SHARE);
        if !is_first {
            bucket.units = 0;
        }
        Self {
            bucket,
            slack,
            window,
            rebalanced_at: now,
        }
    }

    /// Divides the slack by the number of entries that have used it lately, and adds what has
    /// accrued since the last call.
    pub fn rebalance(&mut self, entries: usize, now: Instant) {
        let slack = self.slack / entries.max(1) as f64;
        self.bucket.set_burst(slack * BURST_SHARE);
        let since = now.saturating_duration_since(self.rebalanced_at);
        let windows = since.as_secs_f64() / self.window.as_secs_f64().max(f64::EPSILON);
        self.bucket
            .refill(slack * (1.0 - BURST_SHARE) * windows.min(1.0));
        self.rebalanced_at = now;
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.bucket.on_first_try();
    }

    /// Returns whether this entry's part holds a retry.
    pub fn has_retry(&self) -> bool {
        self.bucket.has_retry()
    }

    /// Returns the number of retries in this entry's part, with what has accrued of the next one.
    pub fn left(&self) -> f64 {
        self.bucket.left()
    }

    /// Takes one retry from this entry's part; returns whether there was one.
    pub fn try_retry(&mut self) -> bool {
        self.bucket.try_retry()
    }
}

fn to_units(retries: f64) -> i64 {
    (retries.clamp(0.0, 1e9) * UNITS_PER_RETRY as f64).round() as i64
}
