//! Decides when a part of the process that has ended is started again.

use std::time::Duration;

/// The longest pause before the first new start.
const FIRST_DELAY: Duration = Duration::from_millis(50);
/// The longest pause before any new start; within the time in which other entries take over.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// The factor by which the pause grows with each end in a row.
const GROWTH: u32 = 2;
/// The smallest share of a pause that is left by its jitter.
const MIN_SHARE: f64 = 0.5;
/// The number of ends in a row from which a part counts as failing.
const FAILING_ENDS: u32 = 3;

/// Tracks how often a part has ended in a row, each time soon after its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RestartBackoff {
    ends_in_row: u32,
}

impl RestartBackoff {
    /// How long a part must run until its earlier ends no longer count.
    pub const SOUND_RUN: Duration = Duration::from_secs(5);

    /// Records that the part has ended after a time, and returns the pause before its next start.
    ///
    /// `random` is from 0 to 1; it spreads the starts of parts that end together.
    pub fn note_end(&mut self, ran: Duration, random: f64) -> Duration {
        if ran >= Self::SOUND_RUN {
            self.note_sound();
        }
        self.ends_in_row = self.ends_in_row.saturating_add(1);
        let factor = GROWTH.saturating_pow(self.ends_in_row - 1);
        let longest = FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY);
        longest.mul_f64(MIN_SHARE + (1.0 - MIN_SHARE) * random.clamp(0.0, 1.0))
    }

    /// Records that the part has run for [`Self::SOUND_RUN`].
    pub fn note_sound(&mut self) {
        self.ends_in_row = 0;
    }

    /// Returns how many times the part has ended in a row.
    pub fn ends_in_row(&self) -> u32 {
        self.ends_in_row
    }

    /// Returns whether the part keeps ending, so that what it maintains may be stale.
    pub fn is_failing(&self) -> bool {
        self.ends_in_row >= FAILING_ENDS
    }
}
