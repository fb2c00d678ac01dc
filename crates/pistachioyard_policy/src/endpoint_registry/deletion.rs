//! Removes endpoints whose records are gone, and ignores records that are older than that.

use std::time::Instant;

use pistachioyard_wire::EndpointId;

use super::EndpointRegistry;
use super::deletions::Deletions;
use super::record::EndpointRecord;
use super::tracked::TrackedEndpoint;
use crate::store_position::StorePosition;

impl EndpointRegistry {
    /// Returns whether a record is older than what is known of its endpoint.
    pub(super) fn is_outdated(&self, record: &EndpointRecord) -> bool {
        let known = self.get(&record.endpoint);
        let known = known.or_else(|| self.set_aside.get(&record.endpoint));
        let known = known.map(|known| known.changed_at);
        let deleted = self.deletions.position(&record.endpoint);
        let newer = known.into_iter().chain(deleted);
        newer.into_iter().any(|at| record.changed_at.is_before(at))
    }

    /// Returns the latest known position in the store.
    pub fn latest_position(&self) -> StorePosition {
        let changed = self.stored_records().map(|record| record.changed_at);
        let deleted = self.deletions.positions();
        let latest = |one: StorePosition, other| if one.is_before(other) { other } else { one };
        changed
            .chain(deleted)
            .fold(StorePosition::default(), latest)
    }

    /// Forgets all positions in the store, whose revisions have begun anew.
    pub fn forget_positions(&mut self) {
        self.deletions = Deletions::default();
        for tracked in self.by_id.values_mut() {
            tracked.record.changed_at = StorePosition::default();
        }
        for record in self.set_aside.values_mut() {
            record.changed_at = StorePosition::default();
        }
    }

    /// Removes an endpoint whose record is gone; returns whether it was removed at once.
    ///
    /// Right after an outage of the store, a record can be missing although its endpoint
    /// is alive. Such an endpoint stays usable until `grace_until`. The grace period starts at
    /// the end of the outage and not when the record was found missing, since the endpoint may
    /// also have left after the outage. `deleted_at` is a position at which the store had no
    /// record; none if a peer's list lacks it.
    pub fn remove(
        &mut self,
        endpoint: &EndpointId,
        deleted_at: Option<StorePosition>,
        grace_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.digest = None;
        self.deletions.expire(now);
        if let Some(at) = deleted_at {
            self.deletions.note(endpoint, at, now);
        }
        if self.set_aside.remove(endpoint).is_some() {
            return true;
        }
        let Some(tracked) = self.by_id.get_mut(endpoint) else {
            return false;
        };
        match grace_until {
            Some(until) if !tracked.record.is_leaving => {
                tracked.grace_until.get_or_insert(until);
                false
            }
            Some(_) | None => self.forget(endpoint),
        }
    }

    /// Removes the endpoints whose records did not return within the grace period after an
    /// outage, and returns their ids.
    pub fn drop_lapsed(&mut self, now: Instant) -> Vec<EndpointId> {
        self.digest = None;
        let is_gone =
            |tracked: &TrackedEndpoint| tracked.grace_until.is_some_and(|until| now >= until);
        let gone = self.by_id.iter().filter(|(_, tracked)| is_gone(tracked));
        let gone: Vec<EndpointId> = gone.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in &gone {
            self.forget(endpoint);
        }
        gone
    }
}
