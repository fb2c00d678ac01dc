//! Ages that entries tell each other.

use serde::{Deserialize, Serialize};

use crate::prelude::*;
use crate::router::log::ms;

/// The oldest age that is told apart; nothing that is so old counts any more.
const MAX_AGE: Duration = Duration::from_secs(24 * 60 * 60);

/// Holds an age, in whole ms and up to [`MAX_AGE`], so that sums with it never overflow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "u64", into = "u64")]
pub(crate) struct ToldAge(u64);

impl ToldAge {
    /// Returns the age of something in the past.
    pub(crate) fn of(age: Duration) -> Self {
        Self::from(ms(age))
    }

    /// Does the same as [`Self::of`], rounded up, so that it cannot get younger by being passed
    /// around.
    pub(crate) fn rounded_up(age: Duration) -> Self {
        Self::from(ms(age).saturating_add(1))
    }

    /// Returns the age.
    pub(crate) fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the age in ms.
    pub(crate) fn ms(self) -> u64 {
        self.0
    }
}

impl From<u64> for ToldAge {
    fn from(age_ms: u64) -> Self {
        Self(age_ms.min(ms(MAX_AGE)))
    }
}

impl From<ToldAge> for u64 {
    fn from(age: ToldAge) -> Self {
        age.0
    }
}
