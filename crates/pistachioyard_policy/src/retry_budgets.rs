//! Limits the retries at each service.

mod usage;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::ServiceName;
pub use usage::RetryUsage;

use crate::retry_budget::SharedRetryBudget;

/// Holds this entry's parts of the retry budgets that all entries share, and counts their use.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    budget: SharedRetryBudget,
    usage: HashMap<ServiceName, RetryUsage>,
    /// The number of entries that the slack is divided by; 0 before it was divided.
    entries: usize,
    window: Duration,
    reported_at: Instant,
}

impl RetryBudgets {
    /// Creates the budgets of a process that starts at `now`.
    ///
    /// In each `window`, all entries together may retry `share` of the first tries plus `slack`.
    /// `is_first` says that all entries are starting for the first time, so that no retries from
    /// before the start still count.
    pub fn new(share: f64, slack: f64, window: Duration, is_first: bool, now: Instant) -> Self {
        Self {
            budget: SharedRetryBudget::new(share, slack, window, is_first, now),
            usage: HashMap::new(),
            entries: 0,
            window,
            reported_at: now,
        }
    }

    /// Divides the slack by the number of entries that have used it lately, and adds what has
    /// accrued since the last call.
    pub fn rebalance(&mut self, entries: usize, now: Instant) {
        self.entries = entries;
        self.budget.rebalance(entries, now);
    }

    /// Returns the number of entries that the slack is divided by; 0 before it was divided.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Counts the first try of a request for a service.
    pub fn on_first_try(&mut self, service: &ServiceName) {
        self.budget.on_first_try();
        self.usage_of(service).first_tries += 1;
    }

    /// Returns whether this entry may retry a request for a service.
    pub fn has_retry(&self, _service: &ServiceName) -> bool {
        self.budget.has_retry()
    }

    /// Takes one retry of a request for a service; returns whether there was one.
    pub fn try_retry(&mut self, service: &ServiceName) -> bool {
        let is_allowed = self.budget.try_retry();
        let usage = self.usage_of(service);
        match is_allowed {
            true => usage.retries += 1,
            false => usage.denied += 1,
        }
        is_allowed
    }

    /// Returns the number of retries of requests for a service that are left, with what has
    /// accrued of the next one.
    pub fn left(&self, _service: &ServiceName) -> f64 {
        self.budget.left()
    }

    /// Returns the use by each service since the last report, and starts counting anew; `None`
    /// until a window has passed.
    pub fn take_usage(&mut self, now: Instant) -> Option<Vec<(ServiceName, RetryUsage)>> {
        if now.saturating_duration_since(self.reported_at) < self.window {
            return None;
        }
        self.reported_at = now;
        Some(self.usage.drain().collect())
    }

    fn usage_of(&mut self, service: &ServiceName) -> &mut RetryUsage {
        self.usage.entry(service.clone()).or_default()
    }
}
