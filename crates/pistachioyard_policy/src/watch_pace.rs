//! Paces the watches (long polls) of the store.
//!
//! Load pattern: a change wakes the watches of all entries, and changes come in bursts. The first
//! of the live entries watches closely and tells the others of changes by gossip; the others may
//! wait longer, and in a large fleet many changes share a call.

use std::time::Duration;

/// The longest wait time that the store accepts.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The wait time of the first entry's watch, as a share of the propagation limit; the rest
/// is left for telling the others that nothing has changed.
const FIRST_WAIT_SHARE: f64 = 0.25;
/// The wait times of the others.
const FOLLOWER_WAIT_SHARE: f64 = 3.0;
const FOLLOWER_OF_MANY_WAIT_SHARE: f64 = 7.5;
/// The minimum interval between the ends of two watches. A single change arrives at once,
/// and a burst of changes is batched.
const MIN_INTERVAL: Duration = Duration::from_millis(400);
/// The same for a follower of many, as a share of the propagation limit.
const FOLLOWER_OF_MANY_INTERVAL_SHARE: f64 = 0.3;
/// How long after its interval a watch must have delivered a change that peers know of.
const MAX_LAG: Duration = Duration::from_millis(300);

/// Says how closely an entry watches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchRole {
    /// The first of the live entries.
    First,
    /// Another entry of a small fleet.
    Follower,
    /// Another entry of a large fleet.
    FollowerOfMany,
}

impl WatchRole {
    /// Returns the wait time of a watch whose changes must be known within `limit`.
    pub fn wait(self, limit: Duration) -> Duration {
        let share = match self {
            Self::First => FIRST_WAIT_SHARE,
            Self::Follower => FOLLOWER_WAIT_SHARE,
            Self::FollowerOfMany => FOLLOWER_OF_MANY_WAIT_SHARE,
        };
        limit.mul_f64(share).min(MAX_WAIT)
    }

    /// Returns the minimum interval between the ends of two such watches.
    pub fn min_interval(self, limit: Duration) -> Duration {
        match self {
            Self::First | Self::Follower => MIN_INTERVAL,
            Self::FollowerOfMany => limit
                .mul_f64(FOLLOWER_OF_MANY_INTERVAL_SHARE)
                .max(MIN_INTERVAL),
        }
    }

    /// Returns how long a peer may know of a change that the watch has not delivered. After that
    /// its connection may be dead, and all is read again.
    pub fn max_lag(self, limit: Duration) -> Duration {
        self.min_interval(limit) + MAX_LAG
    }
}
