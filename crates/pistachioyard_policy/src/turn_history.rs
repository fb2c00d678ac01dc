//! Sums up the turns of a process and paces their log lines.

use std::time::{Duration, Instant};

use crate::time_histogram::TimeHistogram;
use crate::turn::Turn;

/// The shortest time between two log lines on long turns.
const LINE_PAUSE: Duration = Duration::from_secs(1);

/// Sums up all turns since the process started.
#[derive(Clone, Debug, Default)]
pub struct TurnHistory {
    took: TimeHistogram,
    cpu: TimeHistogram,
    unlogged: u64,
    logged_at: Option<Instant>,
}

/// Says that a log line on a long turn is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LongTurn {
    /// The turn that ended now.
    pub turn: Turn,
    /// The number of long turns since the last line that have none.
    pub unlogged: u64,
}

impl TurnHistory {
    /// Records a turn that ended at `now` and returns the log line that is due, if any.
    pub fn record(&mut self, turn: Turn, now: Instant) -> Option<LongTurn> {
        self.took.record(turn.took);
        self.cpu.record(turn.cpu);
        if !turn.is_long() {
            return None;
        }
        let is_due = self
            .logged_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LINE_PAUSE);
        if !is_due {
            self.unlogged += 1;
            return None;
        }
        self.logged_at = Some(now);
        let unlogged = std::mem::take(&mut self.unlogged);
        Some(LongTurn { turn, unlogged })
    }

    /// Returns the elapsed times of the turns.
    pub fn took(&self) -> &TimeHistogram {
        &self.took
    }

    /// Returns the processor times of the turns.
    pub fn cpu(&self) -> &TimeHistogram {
        &self.cpu
    }
}
