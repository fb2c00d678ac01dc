//! Which endpoint holds which prompt prefix, from cache events with gaps.
//!
//! After a gap nothing that was known of the endpoint can be trusted, because an
//! eviction may be among the lost events, so all of it is forgotten.

use std::collections::{HashMap, HashSet, VecDeque};

use pistachioyard_wire::{BootId, CacheEvent, CacheEventKind, CacheEventPage, EndpointId};

/// The most prefixes remembered of one endpoint.
const MAX_PREFIXES_PER_ENDPOINT: usize = 4_096;

/// The prefixes that endpoints hold, as far as known.
///
/// The index is a hint: a wrong answer costs time, never correctness.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    endpoints: HashMap<EndpointId, CachedPrefixes>,
}

impl PrefixIndex {
    /// Makes an index that knows no prefix.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over a page of an endpoint's cache events.
    ///
    /// A new run of the endpoint starts with an empty cache. Events seen before
    /// are skipped.
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

    /// Tells whether the endpoint is known to hold the prefix.
    pub fn holds(&self, endpoint: &EndpointId, prefix_digest: u64) -> bool {
        self.endpoints
            .get(endpoint)
            .is_some_and(|cached| cached.held.contains(&prefix_digest))
    }

    /// Returns the number of the last event seen of a run, to ask for those after.
    pub fn last_seq(&self, endpoint: &EndpointId, boot: BootId) -> u64 {
        self.endpoints
            .get(endpoint)
            .filter(|cached| cached.boot == boot)
            .and_then(|cached| cached.last_seq)
            .unwrap_or(0)
    }

    /// Forgets all that is known of an endpoint.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        self.endpoints.remove(endpoint);
    }
}

/// The prefixes that one run of an endpoint holds.
#[derive(Debug)]
struct CachedPrefixes {
    boot: BootId,
    last_seq: Option<u64>,
    held: HashSet<u64>,
    order: VecDeque<u64>,
}

impl CachedPrefixes {
    fn new(boot: BootId) -> Self {
        Self {
            boot,
            last_seq: None,
            held: HashSet::new(),
            order: VecDeque::new(),
        }
    }

    fn apply(&mut self, event: &CacheEvent) {
        if self.last_seq.is_some_and(|last| event.seq <= last) {
            return;
        }
        let follows = self
            .last_seq
            .is_none_or(|last| event.seq == last.saturating_add(1));
        if !follows {
            self.held.clear();
            self.order.clear();
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
        self.order.push_back(digest);
        if self.order.len() > MAX_PREFIXES_PER_ENDPOINT
            && let Some(oldest) = self.order.pop_front()
        {
            self.held.remove(&oldest);
        }
    }

    fn evict(&mut self, digest: u64) {
        if self.held.remove(&digest) {
            self.order.retain(|held| *held != digest);
        }
    }
}
