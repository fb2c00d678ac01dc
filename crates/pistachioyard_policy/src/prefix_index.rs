//! Index of the prompt prefixes that endpoints cache, built from cache events.
//!
//! Events can be lost, and a lost event may have been an eviction. After a gap, all
//! that was known about the endpoint is therefore discarded.

use std::collections::{HashMap, HashSet, VecDeque};

use pistachioyard_wire::{BootId, CacheEvent, CacheEventKind, CacheEventPage, EndpointId};

/// The maximum number of prefixes that the index keeps for one endpoint.
const MAX_PREFIXES_PER_ENDPOINT: usize = 4_096;

/// Holds the prefixes that each endpoint is known to cache.
///
/// The index is a hint: a wrong answer costs time, never correctness.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    endpoints: HashMap<EndpointId, CachedPrefixes>,
}

impl PrefixIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a page of an endpoint's cache events.
    ///
    /// A new run of the endpoint starts with an empty cache. Events that were already
    /// applied are skipped.
    pub fn apply(&mut self, endpoint: &EndpointId, boot: BootId, page: &CacheEventPage) {
        let cached = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert_with(|| CachedPrefixes::new(boot));
        if cached.boot != boot {
            *cached = CachedPrefixes::new(boot);
        }
        for event in &page.events {
            cached.apply(event);
        }
    }

    /// Returns whether the endpoint is known to hold the prefix.
    pub fn holds(&self, endpoint: &EndpointId, prefix_digest: u64) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|cached| cached.held.contains(&prefix_digest))
    }

    /// Returns the sequence number of the last event applied from a run, or 0 if there is none.
    ///
    /// The next page to request starts after it.
    pub fn last_seq(&self, endpoint: &EndpointId, boot: BootId) -> u64 {
        self.endpoints
            .get(endpoint)
            .filter(|cached| cached.boot == boot)
            .and_then(|cached| cached.last_seq)
            .unwrap_or(0)
    }

    /// Discards all that is known about an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }
}

/// Holds the prefixes that one run of an endpoint caches.
#[derive(Debug)]
struct CachedPrefixes {
    boot: BootId,
    last_seq: Option<u64>,
    held: HashSet<u64>,
    insertion_order: VecDeque<u64>,
}

impl CachedPrefixes {
    fn new(boot: BootId) -> Self {
        Self {
            boot,
            last_seq: None,
            held: HashSet::new(),
            insertion_order: VecDeque::new(),
        }
    }

    fn apply(&mut self, event: &CacheEvent) {
        if self.last_seq.is_some_and(|last| event.seq <= last) {
            return;
        }
        let is_next = self
            .last_seq
            .is_none_or(|last| event.seq == last.saturating_add(1));
        if !is_next {
            self.held.clear();
            self.insertion_order.clear();
        }
        self.last_seq = Some(event.seq);
        match event.kind {
            CacheEventKind::Stored => self.store(event.prefix_digest),
            CacheEventKind::Evicted => self.evict(event.prefix_digest),
        }
    }

    fn store(&mut self, digest: u64) {
        if !self.held.insert(digest) {
            return;
        }
        self.insertion_order.push_back(digest);
        if self.insertion_order.len() > MAX_PREFIXES_PER_ENDPOINT
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.held.remove(&oldest);
        }
    }

    fn evict(&mut self, digest: u64) {
        if self.held.remove(&digest) {
            self.insertion_order.retain(|held| *held != digest);
        }
    }
}
