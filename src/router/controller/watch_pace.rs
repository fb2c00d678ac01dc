//! How long watches of the store wait, and how fast they follow each other.
//!
//! Each call to the store is priced, and each change wakes the watches of all entries.
//! The first of the live entries notices soon when its connection has gone silent, and
//! tells the others what is new; they wait longer.

use crate::prelude::*;
use crate::router::Router;

/// The part of the time in which a change must be known that the first entry's watch
/// waits; the rest is for noticing that the connection has gone silent.
const WATCH_SHARE: f64 = 0.75;
/// How much longer the others wait.
const FOLLOWER_FACTOR: f64 = 4.0;
/// The longest that the store lets a watch wait.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The least time from one watch's end to the next one's; a change that comes alone is
/// known at once, and those of a flood are taken together.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Returns how long a watch of something that must be known within `limit` waits.
pub(super) fn wait(router: &Router, limit: Duration) -> Duration {
    let base = limit.mul_f64(WATCH_SHARE);
    if super::placement::is_candidate(router, Instant::now()) {
        base
    } else {
        base.mul_f64(FOLLOWER_FACTOR).min(MAX_WAIT)
    }
}

/// Spaces watches out.
#[derive(Default)]
pub(super) struct WatchPace {
    ended_at: Option<Instant>,
}

impl WatchPace {
    /// Waits until the next watch may begin.
    pub(super) async fn space_out(&mut self) {
        let now = Instant::now();
        if let Some(ended_at) = self.ended_at {
            let since = now.saturating_duration_since(ended_at);
            tokio::time::sleep(MIN_INTERVAL.saturating_sub(since)).await;
        }
        self.ended_at = Some(Instant::now());
    }
}
