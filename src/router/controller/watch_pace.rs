//! The wait time of store watches (long polls) and the interval between them.
//!
//! Each call to the store has a cost, and each change wakes the watches of all entries.
//! The first of the live entries uses a short wait time to detect a dead connection early,
//! and tells the others by gossip about changes, so they can wait longer.

use crate::prelude::*;
use crate::router::Router;

/// The wait time of the first entry's watch, as a share of the propagation limit; the rest
/// is left for detecting a dead connection.
const WATCH_SHARE: f64 = 0.75;
/// The wait time of the other entries' watches, as a multiple of the first entry's.
const FOLLOWER_FACTOR: f64 = 4.0;
/// The longest wait time that the store accepts.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The minimum interval between the ends of two watches. A single change arrives at once,
/// and a burst of changes is batched.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Returns the wait time of a watch whose changes must be known within `limit`.
pub(super) fn wait_time(router: &Router, limit: Duration) -> Duration {
    let base = limit.mul_f64(WATCH_SHARE);
    if super::placement::is_candidate(router, Instant::now()) {
        base
    } else {
        base.mul_f64(FOLLOWER_FACTOR).min(MAX_WAIT)
    }
}

/// Limits the rate of watches.
#[derive(Default)]
pub(super) struct WatchPace {
    ended_at: Option<Instant>,
}

impl WatchPace {
    /// Waits until the next watch may start.
    pub(super) async fn throttle(&mut self) {
        let now = Instant::now();
        if let Some(ended_at) = self.ended_at {
            let since = now.saturating_duration_since(ended_at);
            tokio::time::sleep(MIN_INTERVAL.saturating_sub(since)).await;
        }
        self.ended_at = Some(Instant::now());
    }
}
