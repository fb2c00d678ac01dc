//! One turn of a thread.

use std::time::Duration;

/// The shortest turn that is long: half of the 120 ms within which an event must be passed on, so
/// that one that arrives behind such a turn can still be in time.
const LONG_TURN: Duration = Duration::from_millis(60);

/// Describes what a thread of the runtime did between two waits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Turn {
    /// The time that elapsed.
    pub took: Duration,
    /// The processor time that the thread used; far below `took` if it did not get the processor.
    pub cpu: Duration,
}

impl Turn {
    /// Returns whether the turn may have made an event late.
    pub fn is_long(self) -> bool {
        self.took >= LONG_TURN
    }
}
