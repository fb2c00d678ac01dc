//! Bounds log lines whose number others decide.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::pace::Pace;
use crate::prelude::*;

/// The number of lines that may be logged at once: twice the endpoints of the largest deployment,
/// and an eighth of what the log's queue holds.
const LINES_AT_ONCE: u32 = 500;
/// The interval between those that follow.
const LINE_INTERVAL: Duration = Duration::from_millis(50);

/// Limits the rate of lines, and tells how many were left out.
pub(super) struct LineLimit {
    pace: Pace,
    left_out: AtomicU64,
}

impl Default for LineLimit {
    fn default() -> Self {
        Self {
            pace: Pace::new(LINES_AT_ONCE, LINE_INTERVAL),
            left_out: AtomicU64::new(0),
        }
    }
}

impl LineLimit {
    /// Returns whether a line may be logged now; counts it otherwise.
    pub(super) fn allows(&self) -> bool {
        if self.pace.take().is_some() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let count = self.left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            spdlog::warn!("router: lines left out", kv: { count });
        }
        true
    }
}
