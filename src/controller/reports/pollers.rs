//! Decides which entry polls which endpoint for its report.

use std::cmp::Reverse;

use pistachioyard_policy::{EndpointView, Membership};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// How often an endpoint with work is polled, in milliseconds.
const BUSY_INTERVAL_MS: u64 = 1_000;
/// How often an idle endpoint is polled, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 2_000;
/// How much earlier than its interval a poll may run, in milliseconds, since ticks are not exact.
const TICK_TOLERANCE_MS: u64 = 200;
/// How much older a report must be before the second entry polls too, in milliseconds.
const SECOND_POLLER_DELAY_MS: u64 = 600;
/// How much older a report must be before every entry polls, in milliseconds.
const OTHER_POLLERS_DELAY_MS: u64 = 1_500;

/// Divides the endpoints among the live entries by rendezvous hashing.
pub(super) struct Pollers<'a> {
    own: &'a EntryId,
    live: Vec<EntryId>,
}

impl<'a> Pollers<'a> {
    pub(super) fn new(own: &'a EntryId, membership: &Membership, now: Instant) -> Self {
        let live = membership.live(now);
        Self {
            own,
            live: live.into_iter().map(|m| m.entry.clone()).collect(),
        }
    }

    /// Tells whether this entry is to poll an endpoint now.
    pub(super) fn is_due(&self, view: &EndpointView, now: Instant) -> bool {
        let Some(measured_at) = view.measured_at() else {
            return true;
        };
        let age = now.saturating_duration_since(measured_at);
        if view.is_dead(now) || view.is_suspect(now) {
            return age >= Duration::from_millis(BUSY_INTERVAL_MS - TICK_TOLERANCE_MS);
        }
        let is_busy = view.estimated_streams() > 0 || view.is_loading() || view.is_moving(now);
        let interval_ms = if is_busy {
            BUSY_INTERVAL_MS
        } else {
            IDLE_INTERVAL_MS
        };
        let after_ms = match self.rank(view.id()) {
            Some(0) => interval_ms - TICK_TOLERANCE_MS,
            Some(1) => interval_ms + SECOND_POLLER_DELAY_MS,
            _ => interval_ms + OTHER_POLLERS_DELAY_MS,
        };
        age >= Duration::from_millis(after_ms)
    }

    /// Returns this entry's rank among the pollers of an endpoint; `None` if it is not live, as
    /// while it drains.
    fn rank(&self, endpoint: &EndpointId) -> Option<usize> {
        let key = |entry: &EntryId| (Reverse(weight(endpoint, entry)), entry.clone());
        let own = key(self.own);
        let is_live = self.live.contains(self.own);
        is_live.then(|| self.live.iter().filter(|entry| key(entry) < own).count())
    }
}

fn weight(endpoint: &EndpointId, entry: &EntryId) -> u64 {
    let seed = xxh3_64_with_seed(endpoint.as_str().as_bytes(), 0);
    xxh3_64_with_seed(entry.as_str().as_bytes(), seed)
}
