//! Finds the endpoints at an address without a look at all others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use pistachioyard_wire::EndpointId;

/// Holds the ids of the endpoints at each address.
#[derive(Clone, Debug, Default)]
pub(super) struct AddressIndex {
    by_address: BTreeMap<SocketAddr, BTreeSet<EndpointId>>,
}

impl AddressIndex {
    /// Adds an endpoint.
    pub(super) fn insert(&mut self, address: SocketAddr, endpoint: EndpointId) {
        self.by_address.entry(address).or_default().insert(endpoint);
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, address: SocketAddr, endpoint: &EndpointId) {
        if let Some(endpoints) = self.by_address.get_mut(&address) {
            endpoints.remove(endpoint);
            if endpoints.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Returns the endpoints at an address; more than one if entries of another writer name it.
    pub(super) fn at(&self, address: SocketAddr) -> impl Iterator<Item = &EndpointId> {
        self.by_address.get(&address).into_iter().flatten()
    }
}
