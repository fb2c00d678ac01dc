//! Keeps suspects apart from each other.

use std::collections::{BTreeMap, BTreeSet};

use pistachioyard_wire::{EndpointId, RequestDigest};

/// The endpoints that run a suspect, so that no other suspect joins it there.
#[derive(Clone, Debug, Default)]
pub struct SuspectLanes {
    running: BTreeMap<RequestDigest, BTreeSet<EndpointId>>,
}

impl SuspectLanes {
    /// Reserves the endpoints of a chain for a suspect, or none of them.
    ///
    /// It is refused while another suspect runs on one of them, and while the
    /// same request runs anywhere: two copies at once could cost two endpoints.
    pub fn begin(&mut self, digest: RequestDigest, endpoints: &[EndpointId]) -> bool {
        if self.running.contains_key(&digest) || endpoints.iter().any(|e| self.is_busy(e)) {
            return false;
        }
        self.running
            .insert(digest, endpoints.iter().cloned().collect());
        true
    }

    /// Gives the endpoints of a suspect free.
    pub fn end(&mut self, digest: RequestDigest) {
        self.running.remove(&digest);
    }

    /// Returns the endpoints that run a suspect.
    pub fn busy_endpoints(&self) -> BTreeSet<EndpointId> {
        self.running.values().flatten().cloned().collect()
    }

    fn is_busy(&self, endpoint: &EndpointId) -> bool {
        self.running.values().any(|busy| busy.contains(endpoint))
    }
}
