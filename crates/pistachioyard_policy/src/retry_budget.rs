//! Bounds retries to a share of first tries.
//!
//! When many requests fail at once, unbounded retries would multiply the load on
//! what is left. See `docs/design/admission.md`.

use std::time::{Duration, Instant};

/// The units of one whole retry, so that shares add up without rounding.
const UNITS_PER_RETRY: u64 = 1_000_000;

/// A token bucket that first tries fill and retries empty.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    units: u64,
    max_units: u64,
    units_per_try: u64,
}

impl RetryBudget {
    /// Starts with a full bucket of `burst` retries; each first try adds `share`
    /// of one.
    pub fn new(share: f64, burst: f64) -> Self {
        let max_units = to_units(burst);
        Self {
            units: max_units,
            max_units,
            units_per_try: to_units(share),
        }
    }

    /// Adds retries that come with time, whatever the first tries.
    fn refill(&mut self, retries: f64) {
        self.units = (self.units + to_units(retries)).min(self.max_units);
    }

    /// Changes how many retries the bucket holds; those that no longer fit are lost.
    ///
    /// Entries that share one budget divide the burst by their number, which changes.
    pub fn set_burst(&mut self, burst: f64) {
        let max_units = to_units(burst);
        // A larger bucket starts as full as the smaller one was, not fuller.
        let used = self.max_units.saturating_sub(self.units);
        self.max_units = max_units;
        self.units = max_units.saturating_sub(used);
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.units = (self.units + self.units_per_try).min(self.max_units);
    }

    /// Takes one retry out of the bucket if there is one.
    pub fn try_retry(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(rest) => {
                self.units = rest;
                true
            }
            None => false,
        }
    }
}

/// The part of a shared budget that is given out, since entries count their requests a
/// moment apart from those who check the budget.
const USED_SHARE: f64 = 0.9;
/// The part of the slack that is there at once; the rest comes over the window, so that
/// no span of its length holds more than the slack.
const BURST_SHARE: f64 = 0.5;

/// One entry's part of a retry budget that all entries share: in every window a share of
/// the first tries and some slack.
///
/// Answers the load pattern of many entries that lose the same endpoints at once, also
/// right after they were restarted: what a process used before its restart still counts,
/// and it does not know of it, so it starts with nothing.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    bucket: RetryBudget,
    slack: f64,
    window: Duration,
    divided_at: Instant,
}

impl SharedRetryBudget {
    /// Starts this entry's part; with nothing in it unless all entries start for the
    /// first time.
    pub fn new(share: f64, slack: f64, window: Duration, is_first: bool, now: Instant) -> Self {
        let slack = slack * USED_SHARE;
        let mut bucket = RetryBudget::new(share * USED_SHARE, slack * BURST_SHARE);
        if !is_first {
            bucket.units = 0;
        }
        Self {
            bucket,
            slack,
            window,
            divided_at: now,
        }
    }

    /// Divides the slack by the entries that have used it lately, and adds what came
    /// since the last call.
    pub fn divide(&mut self, entries: usize, now: Instant) {
        let slack = self.slack / entries.max(1) as f64;
        self.bucket.set_burst(slack * BURST_SHARE);
        let since = now.saturating_duration_since(self.divided_at);
        let windows = since.as_secs_f64() / self.window.as_secs_f64().max(f64::EPSILON);
        self.bucket
            .refill(slack * (1.0 - BURST_SHARE) * windows.min(1.0));
        self.divided_at = now;
    }

    /// Counts a first try.
    pub fn on_first_try(&mut self) {
        self.bucket.on_first_try();
    }

    /// Takes one retry out of this entry's part if there is one.
    pub fn try_retry(&mut self) -> bool {
        self.bucket.try_retry()
    }
}

fn to_units(retries: f64) -> u64 {
    (retries.clamp(0.0, 1e9) * UNITS_PER_RETRY as f64).round() as u64
}
