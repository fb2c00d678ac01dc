//! The retries at one service.

use super::RetryUsage;
use crate::retry_budget::SharedRetryBudget;

/// Holds this entry's part of a service's retry budget, and counts its use.
#[derive(Clone, Debug)]
pub(super) struct ServiceRetries {
    pub(super) budget: SharedRetryBudget,
    /// The use since the last report.
    pub(super) usage: RetryUsage,
}

impl ServiceRetries {
    pub(super) fn new(budget: SharedRetryBudget) -> Self {
        Self {
            budget,
            usage: RetryUsage::default(),
        }
    }

    /// Counts a first try.
    pub(super) fn on_first_try(&mut self) {
        self.budget.on_first_try();
        self.usage.first_tries += 1;
    }

    /// Takes one retry; returns whether there was one.
    pub(super) fn try_retry(&mut self) -> bool {
        let is_allowed = self.budget.try_retry();
        match is_allowed {
            true => self.usage.retries += 1,
            false => self.usage.denied += 1,
        }
        is_allowed
    }

    /// Returns whether the service has had no request since the last report.
    pub(super) fn is_idle(&self) -> bool {
        self.usage == RetryUsage::default()
    }
}
