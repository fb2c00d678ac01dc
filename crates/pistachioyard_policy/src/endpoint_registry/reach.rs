//! Tells which endpoints of a service do not answer this entry, and which of them answer peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointId, ServiceName};

use super::EndpointRegistry;
use super::tracked::TrackedEndpoint;

/// How long after a failure an endpoint that has not answered since is treated as
/// unresponsive; longer than the callers of its streams wait.
const UNRESPONSIVE_WINDOW: Duration = Duration::from_secs(3);
/// How long a peer's word that an endpoint answers it is relied on; longer than the time between
/// two questions.
const OPINION_LIFETIME: Duration = Duration::from_millis(2_500);
/// The time between two questions about an endpoint to peers.
const OPINION_INTERVAL: Duration = Duration::from_secs(1);

impl EndpointRegistry {
    /// Returns the services that have endpoints.
    pub fn services(&self) -> BTreeSet<ServiceName> {
        let records = self.records();
        records.map(|record| record.service.clone()).collect()
    }

    /// Returns the addresses of the endpoints of a service that are not leaving.
    pub fn addresses_of(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let records = self.records();
        let staying = records.filter(|record| record.service == *service && !record.is_leaving);
        staying.map(|record| record.address).collect()
    }

    /// Returns the number of endpoints of a service that are ejected and have not answered since.
    pub fn count_silent(&self, service: &ServiceName) -> usize {
        self.silent_of(service).count()
    }

    /// Returns the number of those that were ejected after `since`.
    pub fn count_silent_since(&self, service: &ServiceName, since: Option<Instant>) -> usize {
        let silent = self.silent_of(service);
        let later = silent.filter(|t| t.suspect.is_some_and(|s| Some(s.since) > since));
        later.count()
    }

    /// Records that an endpoint which does not answer this entry answers a peer.
    pub fn note_reached_elsewhere(&mut self, endpoint: &EndpointId, now: Instant) {
        let tracked = self.by_id.get_mut(endpoint);
        if let Some(suspect) = tracked.and_then(|tracked| tracked.suspect.as_mut()) {
            suspect.reached_elsewhere_until = Some(now + OPINION_LIFETIME);
        }
    }

    /// Records that an endpoint which refuses connections of this entry does not answer a peer
    /// either, or that this entry reaches others.
    pub fn confirm_dead(&mut self, endpoint: &EndpointId) {
        let tracked = self.by_id.get_mut(endpoint);
        if let Some(suspect) = tracked.and_then(|tracked| tracked.suspect.as_mut()) {
            suspect.is_confirmed_dead = true;
            suspect.reached_elsewhere_until = None;
        }
    }

    /// Returns whether it is confirmed that an endpoint is dead.
    pub fn is_confirmed_dead(&self, endpoint: &EndpointId) -> bool {
        let suspect = self.by_id.get(endpoint).and_then(|tracked| tracked.suspect);
        suspect.is_some_and(|suspect| suspect.is_confirmed_dead)
    }

    /// Returns whether a peer is to be asked now about a silent endpoint; at intervals, until its
    /// death is confirmed.
    pub fn take_due_opinion(&mut self, endpoint: &EndpointId, now: Instant) -> bool {
        let tracked = self.by_id.get_mut(endpoint);
        let suspect = tracked.and_then(|tracked| tracked.suspect.as_mut());
        let due = suspect.filter(|s| !s.is_confirmed_dead && now >= s.next_opinion_at);
        match due {
            Some(suspect) => {
                suspect.next_opinion_at = now + OPINION_INTERVAL;
                true
            }
            None => false,
        }
    }

    /// Returns whether an endpoint failed recently and has not answered since, so that its
    /// running requests will not continue.
    pub fn is_unresponsive(&self, endpoint: &EndpointId, now: Instant) -> bool {
        let suspect = self.by_id.get(endpoint).and_then(|tracked| tracked.suspect);
        suspect.is_some_and(|suspect| {
            !suspect.has_answered
                && !suspect.is_reached_elsewhere(now)
                && now.saturating_duration_since(suspect.since) < UNRESPONSIVE_WINDOW
        })
    }

    /// Returns whether all that speaks against an endpoint is that this entry does not reach it.
    pub(super) fn is_only_out_of_reach(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        let suspect = tracked.suspect.filter(|s| s.is_reached_elsewhere(now));
        let run = tracked.record.run();
        suspect.is_some()
            && tracked.is_usable_if_reached(now)
            && !self.notices.is_leaving(&run)
            && !self.notices.is_paused(&run, now)
    }

    /// Makes the probes of all silent endpoints of a service due.
    pub fn probe_at_once(&mut self, service: &ServiceName, now: Instant) {
        for tracked in self.by_id.values_mut() {
            if tracked.record.service == *service
                && let Some(suspect) = &mut tracked.suspect
            {
                suspect.next_probe_at = now;
            }
        }
    }

    fn silent_of(&self, service: &ServiceName) -> impl Iterator<Item = &TrackedEndpoint> {
        let of_service = self
            .by_id
            .values()
            .filter(move |tracked| tracked.record.service == *service);
        of_service.filter(|tracked| tracked.suspect.is_some_and(|s| !s.has_answered))
    }
}
