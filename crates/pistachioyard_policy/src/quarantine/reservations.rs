//! Isolates suspects from each other by reserving endpoints.

use std::collections::{BTreeMap, BTreeSet};

use pistachioyard_wire::{EndpointId, RequestDigest};

/// Holds the endpoints that each suspect runs on, so that no two suspects share an endpoint.
#[derive(Clone, Debug, Default)]
pub struct SuspectReservations {
    reservations: BTreeMap<RequestDigest, BTreeSet<EndpointId>>,
}

impl SuspectReservations {
    /// Reserves all endpoints of a chain for a suspect, or none; returns whether it did.
    ///
    /// Returns false while another suspect runs on one of them, and while the same request
    /// runs anywhere: two copies at once could crash two endpoints.
    pub fn reserve(&mut self, digest: RequestDigest, endpoints: &[EndpointId]) -> bool {
        if self.reservations.contains_key(&digest) || endpoints.iter().any(|e| self.is_reserved(e))
        {
            return false;
        }
        self.reservations
            .insert(digest, endpoints.iter().cloned().collect());
        true
    }

    /// Releases the endpoints of a suspect.
    pub fn release(&mut self, digest: RequestDigest) {
        self.reservations.remove(&digest);
    }

    /// Returns the endpoints that are reserved for suspects.
    pub fn reserved_endpoints(&self) -> BTreeSet<EndpointId> {
        self.reservations.values().flatten().cloned().collect()
    }

    fn is_reserved(&self, endpoint: &EndpointId) -> bool {
        self.reservations
            .values()
            .any(|reserved| reserved.contains(endpoint))
    }
}
