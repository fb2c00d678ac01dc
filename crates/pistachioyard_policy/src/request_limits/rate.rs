//! Checks the limits that endpoints name.

/// The rate, in requests a second, that is used of a lower limit. An endpoint that gets no
/// requests gives no answers, so the end of its limit would not be noticed.
const MIN_USABLE_PER_SECOND: f64 = 0.1;

/// Holds a number of requests a second, finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

/// Reports that a number is no rate of requests.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{0} is no number of requests a second; expected a finite number of at least 0")]
pub struct BadRate(pub f64);

impl TryFrom<f64> for RequestRate {
    type Error = BadRate;

    fn try_from(per_second: f64) -> Result<Self, BadRate> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid
            .then_some(Self(per_second))
            .ok_or(BadRate(per_second))
    }
}

impl RequestRate {
    /// Returns the number of requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    pub(super) fn usable_per_second(self) -> f64 {
        self.0.max(MIN_USABLE_PER_SECOND)
    }
}
