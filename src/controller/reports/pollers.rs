//! Which entry asks which endpoint for its report.

use std::cmp::Reverse;

use pistachioyard_policy::{EndpointView, Membership};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;

/// How often an endpoint with work is asked, in milliseconds.
const BUSY_INTERVAL_MS: u64 = 1_000;
/// How often an idle endpoint is asked, in milliseconds.
const IDLE_INTERVAL_MS: u64 = 2_000;
/// By how much a tick may come early, in milliseconds.
const EARLY_MS: u64 = 200;
/// How much older a report may be before the second entry asks, in milliseconds.
const SECOND_AFTER_MS: u64 = 600;
/// How much older a report may be before every entry asks, in milliseconds.
const OTHERS_AFTER_MS: u64 = 1_500;

/// The entries that share the endpoints among them, by rendezvous hashing.
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

    /// Tells whether this entry shall ask an endpoint for its report now.
    pub(super) fn is_due(&self, view: &EndpointView, now: Instant) -> bool {
        let Some(measured_at) = view.measured_at() else {
            return true;
        };
        let age = now.saturating_duration_since(measured_at);
        if view.is_dead(now) || view.is_suspect(now) {
            return age >= Duration::from_millis(BUSY_INTERVAL_MS - EARLY_MS);
        }
        let is_busy = view.estimated_streams() > 0 || view.is_loading() || view.is_moving(now);
        let interval_ms = if is_busy {
            BUSY_INTERVAL_MS
        } else {
            IDLE_INTERVAL_MS
        };
        let after_ms = match self.rank(view.id()) {
            Some(0) => interval_ms - EARLY_MS,
            Some(1) => interval_ms + SECOND_AFTER_MS,
            _ => interval_ms + OTHERS_AFTER_MS,
        };
        age >= Duration::from_millis(after_ms)
    }

    /// Returns this entry's place among those that may ask; none if it drains.
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
