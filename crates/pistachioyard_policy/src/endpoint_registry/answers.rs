//! Applies what an endpoint's answer says of the endpoint: that it refuses, is unavailable or
//! is leaving.

use std::collections::BTreeMap;
use std::time::Instant;

use pistachioyard_wire::EndpointId;

use super::EndpointRegistry;
use super::notices::EndpointRun;
use super::tracked::TrackedEndpoint;

impl EndpointRegistry {
    /// Ejects an endpoint for a backoff period after it refused a request.
    ///
    /// `has_memory` says whether, as far as is known, it had memory for the request.
    pub fn note_refusal(&mut self, endpoint: &EndpointId, has_memory: bool, now: Instant) {
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
        let by_id = &self.by_id;
        let is_known = |run: &EndpointRun| is_current(by_id, run);
        self.notices.expire(is_known, now);
        self.notices.note_leaving(run, now)
    }

    /// Returns the current runs of known endpoints that have said that they are leaving, so that
    /// peers learn it.
    pub fn leaving_runs(&self) -> impl Iterator<Item = &EndpointRun> {
        let leaving = self.notices.leaving();
        leaving.filter(|run| is_current(&self.by_id, run))
    }
}

fn is_current(by_id: &BTreeMap<EndpointId, TrackedEndpoint>, run: &EndpointRun) -> bool {
    let tracked = by_id.get(&run.endpoint);
    tracked.is_some_and(|tracked| tracked.record.run() == *run)
}
