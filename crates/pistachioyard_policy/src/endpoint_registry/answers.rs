//! Applies what an endpoint's answer says of the endpoint: that it refuses, wants a pause, is
//! unavailable or is leaving.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointId, ServiceName};

use super::EndpointRegistry;
use super::notices::EndpointRun;
use super::tracked::TrackedEndpoint;

impl EndpointRegistry {
    /// Ejects an endpoint for a backoff period after it refused a request.
    ///
    /// `has_memory` says whether, as far as is known, it had memory for the request. An endpoint
    /// that asked for a pause has given its own period, which replaces the backoff.
    pub fn note_refusal(&mut self, endpoint: &EndpointId, has_memory: bool, now: Instant) {
        if self.is_paused(endpoint, now) {
            return;
        }
        if let Some(tracked) = self.by_id.get_mut(endpoint) {
            tracked.note_refusal(has_memory, now);
        }
    }

    /// Ejects an endpoint until it restarts, after it said that it is not the endpoint that was
    /// addressed.
    pub fn mark_unavailable(&mut self, endpoint: &EndpointId) {
        if let Some(tracked) = self.by_id.get_mut(endpoint) {
            tracked.is_unavailable = true;
        }
    }

    /// Returns the run of an endpoint that is known now; its start is unknown if the endpoint is.
    pub fn run_of(&self, endpoint: &EndpointId) -> EndpointRun {
        EndpointRun {
            endpoint: endpoint.clone(),
            started_unix_ms: self
                .get(endpoint)
                .and_then(|record| record.state.started_unix_ms),
        }
    }

    /// Ejects a run of an endpoint for good after it said that it is leaving, whatever its
    /// record says; returns whether this is new.
    pub fn note_leaving(&mut self, run: &EndpointRun, now: Instant) -> bool {
        self.expire_notices(now);
        self.notices.note_leaving(run, now)
    }

    /// Gives a run of an endpoint no requests for the pause that it asked for in a refusal;
    /// returns whether it had no pause yet.
    ///
    /// The pause is that of the run that answered, even if the refusal blames another endpoint.
    pub fn note_pause(&mut self, run: &EndpointRun, pause: Duration, now: Instant) -> bool {
        self.expire_notices(now);
        self.notices.note_pause(run, pause, now)
    }

    /// Returns whether an endpoint asked for a pause that has not ended.
    pub fn is_paused(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.notices.is_paused(&self.run_of(endpoint), now)
    }

    /// Returns the time until the first endpoint of a service ends its pause or has room within
    /// its limit again, if all but those that are leaving or lost have a pause or no room; until
    /// then no request can be served.
    ///
    /// Endpoints of `except` need no pause, since the request cannot go there.
    pub fn all_paused_for(
        &self,
        service: &ServiceName,
        except: &[EndpointId],
        now: Instant,
    ) -> Option<Duration> {
        let mut first_end: Option<Instant> = None;
        for tracked in self.by_id.values() {
            let record = &tracked.record;
            if record.service != *service {
                continue;
            }
            let run = record.run();
            let is_gone = record.is_leaving
                || tracked.is_unavailable
                || tracked.is_lost(now)
                || self.notices.is_leaving(&run);
            if is_gone {
                continue;
            }
            let paused_until = self.notices.paused_until(&run, now);
            match paused_until.max(self.limits.no_room_until(&run, now)) {
                Some(until) => {
                    first_end = Some(first_end.map_or(until, |first| first.min(until)));
                }
                None if except.contains(&record.endpoint) => {}
                None => return None,
            }
        }
        first_end.map(|end| end.saturating_duration_since(now))
    }

    /// Returns the current runs of known endpoints that have said that they are leaving, so that
    /// peers learn it.
    pub fn leaving_runs(&self) -> impl Iterator<Item = &EndpointRun> {
        let leaving = self.notices.leaving();
        leaving.filter(|run| is_current(&self.by_id, run))
    }

    fn expire_notices(&mut self, now: Instant) {
        let by_id = &self.by_id;
        self.notices.expire(|run| is_current(by_id, run), now);
    }
}

pub(super) fn is_current(by_id: &BTreeMap<EndpointId, TrackedEndpoint>, run: &EndpointRun) -> bool {
    let tracked = by_id.get(&run.endpoint);
    tracked.is_some_and(|tracked| tracked.record.run() == *run)
}
