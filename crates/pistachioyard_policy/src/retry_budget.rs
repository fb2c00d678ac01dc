//! Bounds retries to a share of first tries.
//!
//! When many requests fail at once, unbounded retries would multiply the load on
//! what is left. See `docs/design/admission.md`.

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

fn to_units(retries: f64) -> u64 {
    (retries.clamp(0.0, 1e9) * UNITS_PER_RETRY as f64).round() as u64
}
