//! Service-level burn: how fast each service level uses up its error budget.
//!
//! Each entry counts good and total events in ring buffers of time slots. Each entry
//! sums its own windows, so counts of several entries merge by exact addition, without
//! a common clock (`docs/design/service-level-burn.md`).

mod report;
mod ring;

use std::time::{Duration, Instant};

use pistachioyard_wire::{Objective, Priority, ServiceLevel, WindowCount, WorkspaceName};

pub use report::{BurnAlert, BurnReport, BurnWindow, merge_counts};
use ring::SlotRing;

/// The windows over which burn is reported, the shortest first.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(6 * 60 * 60),
];
/// The length of a slot for windows of up to one hour.
const SHORT_SLOT_LENGTH: Duration = Duration::from_secs(5);
/// The number of short slots, which cover one hour.
const SHORT_SLOT_COUNT: usize = 720;
/// The length of a slot for longer windows.
const LONG_SLOT_LENGTH: Duration = Duration::from_secs(60);
/// The number of long slots, which cover six hours.
const LONG_SLOT_COUNT: usize = 360;

/// Holds one measurement of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measure {
    /// Whether the request completed successfully.
    Success(bool),
    /// A duration in milliseconds.
    Millis(f64),
}

/// Counts the events of one service level at one entry.
#[derive(Clone, Debug)]
pub struct BurnCounter {
    level: ServiceLevel,
    short: SlotRing,
    long: SlotRing,
}

impl BurnCounter {
    /// Creates an empty counter that starts at `now`.
    pub fn new(level: ServiceLevel, now: Instant) -> Self {
        Self {
            level,
            short: SlotRing::new(SHORT_SLOT_LENGTH, SHORT_SLOT_COUNT, now),
            long: SlotRing::new(LONG_SLOT_LENGTH, LONG_SLOT_COUNT, now),
        }
    }

    /// Returns the service level that is counted.
    pub fn level(&self) -> &ServiceLevel {
        &self.level
    }

    /// Counts one event, either good or bad.
    pub fn record(&mut self, good: bool, now: Instant) {
        self.short.record(good, now);
        self.long.record(good, now);
    }

    /// Counts a measurement if the service level applies to it.
    pub fn observe(
        &mut self,
        objective: Objective,
        workspace: &WorkspaceName,
        priority: Priority,
        measure: Measure,
        now: Instant,
    ) {
        let level = &self.level;
        let applies = level.objective == objective
            && level.workspace.as_ref().is_none_or(|w| w == workspace)
            && level.priority.is_none_or(|p| p == priority);
        if !applies {
            return;
        }
        let good = match measure {
            Measure::Success(succeeded) => succeeded,
            Measure::Millis(ms) => level.threshold_ms.is_none_or(|limit| ms <= limit as f64),
        };
        self.record(good, now);
    }

    /// Returns the counts for each of the [`BURN_WINDOWS`].
    pub fn windows(&self, now: Instant) -> Vec<WindowCount> {
        BURN_WINDOWS
            .into_iter()
            .map(|window| {
                let fits_short = window <= SHORT_SLOT_LENGTH * SHORT_SLOT_COUNT as u32;
                let ring = if fits_short { &self.short } else { &self.long };
                ring.sum(window, now)
            })
            .collect()
    }
}
