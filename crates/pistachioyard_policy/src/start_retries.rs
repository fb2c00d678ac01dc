//! Paces the attempts of a process to start.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

/// The pause after the first failed attempt, before jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause between two attempts.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// The shortest pause as a share of the one before jitter.
const MIN_JITTER: f64 = 0.5;

/// Counts the failed attempts at the steps of a start.
#[derive(Clone, Debug)]
pub struct StartRetries<S> {
    failures: BTreeMap<S, u32>,
    total: u32,
}

/// Says what follows a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartRetry {
    /// How often the step has failed.
    pub attempt: u32,
    /// How long to wait before the next attempt.
    pub pause: Duration,
    /// Whether the failure is logged: the first one of a step, and ever fewer of those that follow.
    pub is_logged: bool,
}

impl<S> Default for StartRetries<S> {
    fn default() -> Self {
        Self {
            failures: BTreeMap::new(),
            total: 0,
        }
    }
}

impl<S: Ord> StartRetries<S> {
    /// Records that a step has failed.
    pub fn fail(&mut self, step: S, rng: &mut impl Rng) -> StartRetry {
        let attempt = self.failures.entry(step).or_default();
        *attempt = attempt.saturating_add(1);
        let doubled = FIRST_PAUSE.saturating_mul(2u32.saturating_pow(self.total));
        self.total = self.total.saturating_add(1);
        let jitter = rng.random_range(MIN_JITTER..=1.0);
        StartRetry {
            attempt: *attempt,
            pause: doubled.min(MAX_PAUSE).mul_f64(jitter),
            is_logged: attempt.is_power_of_two(),
        }
    }

    /// Returns how many attempts have failed.
    pub fn failed_attempts(&self) -> u32 {
        self.total
    }
}
