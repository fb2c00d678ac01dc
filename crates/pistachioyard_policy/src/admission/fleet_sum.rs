//! Sums what the other entries tell of something, by key.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::ops::AddAssign;
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EntryId};

/// How long what a peer told counts; several gossip periods, since datagrams may be lost.
const PEER_TTL: Duration = Duration::from_secs(2);
/// How long the sum of a data centre counts after it was told.
const CENTRE_TTL: Duration = Duration::from_secs(4);

type Told<K, V> = (Vec<(K, V)>, Instant);

/// Holds what the peers of the own data centre and the other data centres told last.
#[derive(Clone, Debug)]
pub(super) struct FleetSum<K, V> {
    peers: BTreeMap<EntryId, Told<K, V>>,
    centres: BTreeMap<DataCentre, Told<K, V>>,
    near: HashMap<K, V>,
    far: HashMap<K, V>,
}

impl<K, V> Default for FleetSum<K, V> {
    fn default() -> Self {
        Self {
            peers: BTreeMap::new(),
            centres: BTreeMap::new(),
            near: HashMap::new(),
            far: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash, V: AddAssign + Copy + Default> FleetSum<K, V> {
    pub(super) fn set_peer(&mut self, peer: EntryId, told: Vec<(K, V)>, now: Instant) {
        self.peers.insert(peer, (told, now));
        self.near = sum(self.peers.values());
    }

    pub(super) fn set_centre(&mut self, centre: DataCentre, told: Vec<(K, V)>, now: Instant) {
        self.centres.insert(centre, (told, now));
        self.far = sum(self.centres.values());
    }

    pub(super) fn forget_peer(&mut self, peer: &EntryId) {
        if self.peers.remove(peer).is_some() {
            self.near = sum(self.peers.values());
        }
    }

    /// Removes what was told too long ago.
    pub(super) fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant, ttl| now.saturating_duration_since(at) < ttl;
        self.peers.retain(|_, (_, at)| is_recent(*at, PEER_TTL));
        self.centres.retain(|_, (_, at)| is_recent(*at, CENTRE_TTL));
        self.near = sum(self.peers.values());
        self.far = sum(self.centres.values());
    }

    /// Returns the sum over all other entries.
    pub(super) fn total(&self, key: &K) -> V {
        let mut total = self.near_total(key);
        total += self.far.get(key).copied().unwrap_or_default();
        total
    }

    /// Returns the sum over the peers of the own data centre.
    pub(super) fn near_total(&self, key: &K) -> V {
        self.near.get(key).copied().unwrap_or_default()
    }

    /// Returns the keys that peers of the own data centre told of.
    pub(super) fn near_keys(&self) -> impl Iterator<Item = &K> {
        self.near.keys()
    }

    /// Returns all keys that were told of; some may be named twice.
    pub(super) fn keys(&self) -> impl Iterator<Item = &K> {
        self.near.keys().chain(self.far.keys())
    }
}

fn sum<'a, K, V>(told: impl Iterator<Item = &'a Told<K, V>>) -> HashMap<K, V>
where
    K: Copy + Eq + Hash + 'a,
    V: AddAssign + Copy + Default + 'a,
{
    let mut sums: HashMap<K, V> = HashMap::new();
    for (key, value) in told.flat_map(|(told, _)| told) {
        *sums.entry(*key).or_default() += *value;
    }
    sums
}
