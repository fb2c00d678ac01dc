//! Limits the retries at each service.

mod service_retries;
mod usage;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::ServiceName;
use service_retries::ServiceRetries;
pub use usage::RetryUsage;

use crate::retry_budget::SharedRetryBudget;

/// Holds this entry's parts of the retry budgets that all entries share, one for each service, and
/// counts their use.
///
/// Requests for one service pay for no retries at another: the endpoints of a service bear the
/// retries of its own requests only. See `docs/design/admission.md`.
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    /// The part of a service that has had no request since the start.
    unused: SharedRetryBudget,
    /// The services with requests in the last windows.
    services: HashMap<ServiceName, ServiceRetries>,
    /// The number of parts that the slack is divided into; `None` if this entry has none.
    parts: Option<usize>,
    window: Duration,
    reported_at: Instant,
}

impl RetryBudgets {
    /// Creates the budgets of a process that starts at `now`.
    ///
    /// In each `window`, all entries together may retry, at each service, `share` of the first
    /// tries for it plus `slack`. `is_first` says that all entries are starting for the first time,
    /// so that no retries from before the start still count.
    pub fn new(share: f64, slack: f64, window: Duration, is_first: bool, now: Instant) -> Self {
        Self {
            unused: SharedRetryBudget::new(share, slack, window, is_first),
            services: HashMap::new(),
            parts: None,
            window,
            reported_at: now,
        }
    }

    /// Divides the slack of each service into this many parts, of which this entry has one, and
    /// adds what has accrued since the last call; with `None` it has no part.
    pub fn rebalance(&mut self, parts: Option<usize>, now: Instant) {
        self.parts = parts;
        self.unused.rebalance(parts, now);
        for service in self.services.values_mut() {
            service.budget.rebalance(parts, now);
        }
    }

    /// Returns the number of parts that the slack is divided into; `None` if this entry has none.
    pub fn parts(&self) -> Option<usize> {
        self.parts
    }

    /// Counts the first try of a request for a service.
    pub fn on_first_try(&mut self, service: &ServiceName) {
        self.service_mut(service).on_first_try();
    }

    /// Returns whether this entry may retry a request for a service.
    pub fn has_retry(&self, service: &ServiceName) -> bool {
        self.budget_of(service).has_retry()
    }

    /// Takes one retry of a request for a service; returns whether there was one.
    pub fn try_retry(&mut self, service: &ServiceName) -> bool {
        self.service_mut(service).try_retry()
    }

    /// Returns the number of retries of requests for a service that are left, with what has
    /// accrued of the next one.
    pub fn left(&self, service: &ServiceName) -> f64 {
        self.budget_of(service).left()
    }

    /// Returns the use by each service since the last report, and starts counting anew; `None`
    /// until a window has passed.
    ///
    /// A service without requests is forgotten once it has as many retries left as one that never
    /// had a request, so that the services of former configurations take no memory.
    pub fn take_usage(&mut self, now: Instant) -> Option<Vec<(ServiceName, RetryUsage)>> {
        if now.saturating_duration_since(self.reported_at) < self.window {
            return None;
        }
        self.reported_at = now;
        let unused = self.unused.left();
        self.services
            .retain(|_, service| !service.is_idle() || service.budget.left() < unused);
        let used = self.services.iter_mut();
        Some(
            used.map(|(name, service)| (name.clone(), std::mem::take(&mut service.usage)))
                .collect(),
        )
    }

    fn budget_of(&self, service: &ServiceName) -> &SharedRetryBudget {
        let known = self.services.get(service);
        known.map_or(&self.unused, |service| &service.budget)
    }

    fn service_mut(&mut self, service: &ServiceName) -> &mut ServiceRetries {
        let unused = &self.unused;
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceRetries::new(unused.clone()))
    }
}
