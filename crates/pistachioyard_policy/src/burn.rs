//! Service-level burn: how fast the error budget of each service level is used.
//!
//! Each entry counts good and all events in rings of time slots. Windows are
//! summed at the entry, so that merging the counts of entries is exact addition
//! and needs no common clock (`docs/design/service-level-burn.md`).

mod report;
mod ring;

use std::time::{Duration, Instant};

use pistachioyard_wire::{Objective, Priority, ServiceLevel, WindowCount, WorkspaceName};

pub use report::{BurnAlert, BurnReport, BurnWindow, merge_counts};
use ring::SlotRing;

/// The windows that burn is reported over.
pub const BURN_WINDOWS: [Duration; 4] = [
    Duration::from_secs(5 * 60),
    Duration::from_secs(30 * 60),
    Duration::from_secs(60 * 60),
    Duration::from_secs(6 * 60 * 60),
];
/// The length of a slot for windows of up to an hour.
const SHORT_SLOT: Duration = Duration::from_secs(5);
/// The number of short slots: an hour of them.
const SHORT_SLOTS: usize = 720;
/// The length of a slot for longer windows.
const LONG_SLOT: Duration = Duration::from_secs(60);
/// The number of long slots: six hours of them.
const LONG_SLOTS: usize = 360;

/// What was observed of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Measure {
    /// Whether it ended as done.
    Success(bool),
    /// A time in milliseconds.
    Millis(f64),
}

/// The counts of one service level at one entry.
#[derive(Clone, Debug)]
pub struct BurnCounter {
    level: ServiceLevel,
    short: SlotRing,
    long: SlotRing,
}

impl BurnCounter {
    /// Makes a counter that starts now.
    pub fn new(level: ServiceLevel, now: Instant) -> Self {
        Self {
            level,
            short: SlotRing::new(SHORT_SLOT, SHORT_SLOTS, now),
            long: SlotRing::new(LONG_SLOT, LONG_SLOTS, now),
        }
    }

    /// Returns the service level.
    pub fn level(&self) -> &ServiceLevel {
        &self.level
    }

    /// Counts one event as good or not.
    pub fn record(&mut self, good: bool, now: Instant) {
        self.short.record(good, now);
        self.long.record(good, now);
    }

    /// Counts an observation if the service level is about it.
    pub fn observe(
        &mut self,
        objective: Objective,
        workspace: &WorkspaceName,
        priority: Priority,
        measure: Measure,
        now: Instant,
    ) {
        let level = &self.level;
        let about = level.objective == objective
            && level.workspace.as_ref().is_none_or(|w| w == workspace)
            && level.priority.is_none_or(|p| p == priority);
        if !about {
            return;
        }
        let good = match measure {
            Measure::Success(done) => done,
            Measure::Millis(ms) => level.threshold_ms.is_none_or(|limit| ms <= limit as f64),
        };
        self.record(good, now);
    }

    /// Returns the counts of each of the [`BURN_WINDOWS`].
    pub fn windows(&self, now: Instant) -> Vec<WindowCount> {
        BURN_WINDOWS
            .into_iter()
            .map(|window| {
                let fits_short = window <= SHORT_SLOT * SHORT_SLOTS as u32;
                let ring = if fits_short { &self.short } else { &self.long };
                ring.sum(window, now)
            })
            .collect()
    }
}
