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

    /// Sets the capacity of the bucket and keeps the retries in it, as far as they fit.
    fn limit_to(&mut self, burst: f64) {
        self.max_units = to_units(burst);
        self.units = self.units.min(self.max_units);
    }

    /// Fills the bucket.
    fn fill(&mut self) {
        self.units = self.max_units;
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.units = (self.units + self.units_per_first_try).min(self.max_units);
    }

    /// Returns whether the bucket holds all that fits.
    pub(crate) fn is_full(&self) -> bool {
        self.units >= self.max_units
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
/// The number of retries that an entry without a part of the slack may save up from its own first
/// tries. Few, because the number of such entries is not known.
const UNSHARED_BURST: f64 = 2.0;

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
    /// Whether the first part of the slack fills the bucket.
    starts_full: bool,
    /// When the slack last accrued; `None` while this entry has no part of it.
    accrued_at: Option<Instant>,
}

impl SharedRetryBudget {
    /// Creates the budget of an entry that has no part of the slack yet. Its first part is used up
    /// unless `is_first`, which says that all entries are starting for the first time.
    pub fn new(share: f64, slack: f64, window: Duration, is_first: bool) -> Self {
        let slack = slack * GRANTED_SHARE;
        let mut bucket = RetryBudget::new(share * GRANTED_SHARE, slack.min(UNSHARED_BURST));
        bucket.units = 0;
        Self {
            bucket,
            slack,
            window,
            starts_full: is_first,
            accrued_at: None,
        }
    }

    /// Divides the slack into this many parts, of which this entry has one, and adds what has
    /// accrued since the last call.
    ///
    /// Without a part, with `None`, the entry retries a share of its own first tries only.
    pub fn rebalance(&mut self, parts: Option<usize>, now: Instant) {
        let Some(parts) = parts else {
            self.bucket.limit_to(self.slack.min(UNSHARED_BURST));
            self.accrued_at = None;
            return;
        };
        let slack = self.slack / parts.max(1) as f64;
        let burst = slack * BURST_SHARE;
        match self.accrued_at {
            Some(accrued_at) => {
                self.bucket.set_burst(burst);
                let since = now.saturating_duration_since(accrued_at);
                let windows = since.as_secs_f64() / self.window.as_secs_f64().max(f64::EPSILON);
                self.bucket
                    .refill(slack * (1.0 - BURST_SHARE) * windows.min(1.0));
            }
            None => {
                self.bucket.limit_to(burst);
                if self.starts_full {
                    self.bucket.fill();
                }
                self.starts_full = false;
            }
        }
        self.accrued_at = Some(now);
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
