//! The role of this entry among those that watch the store, and the rate of its watches.

use pistachioyard_policy::WatchRole;

use crate::prelude::*;
use crate::router::Router;

/// Returns how closely this entry watches the store.
pub(super) fn role(router: &Router) -> WatchRole {
    match super::placement::is_candidate(router, Instant::now()) {
        true => WatchRole::First,
        false if router.is_large_fleet() => WatchRole::FollowerOfMany,
        false => WatchRole::Follower,
    }
}

/// Limits the rate of watches.
#[derive(Default)]
pub(super) struct WatchPace {
    ended_at: Option<Instant>,
}

impl WatchPace {
    /// Waits until the next watch may start whose changes must be known within `limit`.
    pub(super) async fn throttle(&mut self, router: &Router, limit: Duration) {
        if let Some(ended_at) = self.ended_at {
            let interval = role(router).min_interval(limit);
            tokio::time::sleep(interval.saturating_sub(ended_at.elapsed())).await;
        }
        self.ended_at = Some(Instant::now());
    }
}
