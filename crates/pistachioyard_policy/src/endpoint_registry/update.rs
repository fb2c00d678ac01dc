//! Applies records from the store and reports from endpoints.

use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointId;

use super::EndpointRegistry;
use super::record::{EndpointChange, EndpointRecord, EndpointReport};
use super::tracked::TrackedEndpoint;

/// How far a record in the store can lag behind the endpoint's own reports: a heartbeat in
/// transit plus the pause between two watches.
const MAX_RECORD_LAG: Duration = Duration::from_millis(1_000);

impl EndpointRegistry {
    /// Applies a record read from the store, or a peer's copy of one, and returns what changed.
    ///
    /// A page or copy that is older than what is known would bring back an endpoint that is
    /// leaving or gone.
    pub fn apply(&mut self, record: EndpointRecord, now: Instant) -> EndpointChange {
        if self.is_outdated(&record) {
            return EndpointChange::Outdated;
        }
        self.digest = None;
        self.deletions.forget(&record.endpoint);
        let is_named = self.is_named(&record.service);
        if !is_named && !self.by_id.contains_key(&record.endpoint) {
            let known = self.set_aside.insert(record.endpoint.clone(), record);
            return known.map_or(EndpointChange::SetAside, |_| EndpointChange::Renewed);
        }
        self.set_aside.remove(&record.endpoint);
        if is_named {
            for endpoint in self.displaced_by(&record) {
                self.forget(&endpoint);
            }
        }
        let Some(tracked) = self.by_id.get_mut(&record.endpoint) else {
            let tracked = TrackedEndpoint::new(record, now);
            self.addresses
                .insert(tracked.record.address, tracked.record.endpoint.clone());
            self.by_id.insert(tracked.record.endpoint.clone(), tracked);
            return EndpointChange::Joined;
        };
        tracked.renewed_at = now;
        tracked.grace_until = None;
        let old = std::mem::replace(&mut tracked.record, record);
        let new = &tracked.record;
        self.addresses.remove(old.address, &new.endpoint);
        self.addresses.insert(new.address, new.endpoint.clone());
        if old.state.started_unix_ms != new.state.started_unix_ms || old.address != new.address {
            *tracked = TrackedEndpoint::new(tracked.record.clone(), now);
            return EndpointChange::Restarted;
        }
        let state = &mut tracked.record.state;
        state.orders_begun = old.state.orders_begun;
        state.slowdown = old.state.slowdown;
        // A record can be older than the endpoint's last report.
        let has_recent_report = tracked
            .reported_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_RECORD_LAG);
        if has_recent_report && state.layers.is_none() && !old.state.is_moving {
            state.layers = old.state.layers;
        }
        tracked.clear_settled_order(now);
        match () {
            () if tracked.record.is_leaving && !old.is_leaving => EndpointChange::Leaves,
            () if tracked.record.state.layers != old.state.layers => EndpointChange::Layers,
            () => EndpointChange::Renewed,
        }
    }

    /// Applies a report that came from the endpoint itself.
    pub fn apply_report(&mut self, endpoint: &EndpointId, report: EndpointReport, now: Instant) {
        let Some(tracked) = self.by_id.get_mut(endpoint) else {
            return;
        };
        let state = &mut tracked.record.state;
        let is_restarted = state.started_unix_ms != report.started_unix_ms;
        if is_restarted || state.orders_begun <= report.orders_begun {
            let card = report.card.clone().or_else(|| state.card.clone());
            *state = EndpointReport { card, ..report };
            tracked.reported_at = Some(now);
            if is_restarted {
                tracked.pending_order = None;
            }
            tracked.clear_settled_order(now);
        }
    }

    /// Returns whether the known records of a record's endpoint and address show that it is from
    /// an older copy of the store.
    pub fn shows_older_copy(&self, record: &EndpointRecord) -> bool {
        let mut known = self
            .get(&record.endpoint)
            .into_iter()
            .chain(self.at(record));
        known.any(|known| record.is_outdated_by(known))
    }

    /// Returns the endpoints that are gone because a record has their address now.
    fn displaced_by(&self, record: &EndpointRecord) -> Vec<EndpointId> {
        let displaced = self
            .at(record)
            .filter(|other| record.takes_address_of(other));
        displaced.map(|other| other.endpoint.clone()).collect()
    }

    /// Returns the known records with the address of a record.
    fn at(&self, record: &EndpointRecord) -> impl Iterator<Item = &EndpointRecord> {
        let endpoints = self.addresses.at(record.address);
        endpoints.filter_map(|endpoint| self.get(endpoint))
    }

    /// Removes an endpoint; returns whether it was known.
    pub(super) fn forget(&mut self, endpoint: &EndpointId) -> bool {
        let removed = self.by_id.remove(endpoint);
        if let Some(removed) = &removed {
            self.addresses.remove(removed.record.address, endpoint);
        }
        removed.is_some()
    }
}
