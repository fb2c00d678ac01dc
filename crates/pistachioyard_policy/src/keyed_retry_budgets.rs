//! Limits the retries for each of many targets.

use std::collections::HashMap;
use std::hash::Hash;

use crate::retry_budget::RetryBudget;

/// Holds a retry budget for each target, such as a model, so that the requests for one pay for no
/// retries of another.
///
/// Only targets that have used retries take memory, since callers may name any.
#[derive(Clone, Debug)]
pub struct KeyedRetryBudgets<K> {
    full: RetryBudget,
    used: HashMap<K, RetryBudget>,
}

impl<K: Clone + Eq + Hash> KeyedRetryBudgets<K> {
    /// Creates full budgets of `burst` retries, to which each first try for a target adds `share`
    /// of a retry.
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            full: RetryBudget::new(share, burst),
            used: HashMap::new(),
        }
    }

    /// Counts a first try for a target.
    pub fn on_first_try(&mut self, target: &K) {
        let Some(budget) = self.used.get_mut(target) else {
            return;
        };
        budget.on_first_try();
        if budget.is_full() {
            self.used.remove(target);
        }
    }

    /// Takes one retry for a target; returns whether there was one.
    pub fn try_retry(&mut self, target: &K) -> bool {
        let full = &self.full;
        let budget = self.used.entry(target.clone());
        budget.or_insert_with(|| full.clone()).try_retry()
    }

    /// Returns the number of targets that have used retries.
    pub fn used_targets(&self) -> usize {
        self.used.len()
    }
}
