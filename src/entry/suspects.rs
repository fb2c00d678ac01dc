//! The suspect requests that entries retry, and the endpoints reserved for them.

use std::collections::{BTreeMap, BTreeSet};

use parking_lot::Mutex;
use pistachioyard_wire::RequestDigest;

use crate::prelude::*;

/// The endpoints that are reserved for each suspect.
type Reservations = BTreeMap<RequestDigest, BTreeSet<EndpointId>>;

/// Holds the suspects that this entry and its peers retry or are about to retry.
#[derive(Default)]
pub(crate) struct SuspectTable {
    own: Mutex<Reservations>,
    peers: Mutex<BTreeMap<EntryId, Reservations>>,
}

impl SuspectTable {
    /// Returns this entry's suspects.
    pub(crate) fn own(&self) -> Reservations {
        self.own.lock().clone()
    }

    /// Adds a suspect to this entry's own.
    pub(crate) fn begin(&self, digest: RequestDigest, endpoints: &[EndpointId]) {
        let endpoints = endpoints.iter().cloned().collect();
        self.own.lock().insert(digest, endpoints);
    }

    /// Adds a request that may have crashed an endpoint, until that is found out; returns whether
    /// it was not among this entry's own yet.
    pub(crate) fn begin_check(&self, digest: RequestDigest) -> bool {
        let mut own = self.own.lock();
        let is_new = !own.contains_key(&digest);
        own.entry(digest).or_default();
        is_new
    }

    /// Returns whether this entry or a peer checks or retries a request.
    pub(crate) fn contains(&self, digest: RequestDigest) -> bool {
        self.own.lock().contains_key(&digest) || self.is_at_peer(digest)
    }

    /// Removes a suspect from this entry's own.
    pub(crate) fn end(&self, digest: RequestDigest) {
        self.own.lock().remove(&digest);
    }

    /// Replaces the suspects of a peer.
    pub(crate) fn set_for_peer(&self, peer: &EntryId, suspects: Reservations) {
        let mut peers = self.peers.lock();
        if suspects.is_empty() {
            peers.remove(peer);
        } else {
            peers.insert(peer.clone(), suspects);
        }
    }

    /// Returns whether any peer retries a request as a suspect.
    pub(crate) fn is_at_peer(&self, digest: RequestDigest) -> bool {
        let peers = self.peers.lock();
        peers
            .values()
            .any(|suspects| suspects.contains_key(&digest))
    }

    /// Returns the endpoints that peers have reserved.
    pub(crate) fn reserved_by_peers(&self) -> BTreeSet<EndpointId> {
        let peers = self.peers.lock();
        let reserved = peers.values().flat_map(BTreeMap::values);
        reserved.flatten().cloned().collect()
    }

    /// Returns whether a peer whose name sorts before `own` retries the same suspect or has
    /// reserved one of its endpoints.
    pub(crate) fn must_yield(
        &self,
        own: &EntryId,
        digest: RequestDigest,
        endpoints: &[EndpointId],
    ) -> bool {
        let peers = self.peers.lock();
        let mut before = peers.iter().filter(|(peer, _)| *peer < own);
        before.any(|(_, suspects)| {
            let mut reserved = suspects.values();
            suspects.contains_key(&digest)
                || reserved.any(|reserved| endpoints.iter().any(|e| reserved.contains(e)))
        })
    }
}
