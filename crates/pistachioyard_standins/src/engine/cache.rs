//! The cache of prompt prefixes, with its late event feed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use pistachioyard_wire::{CacheEvent, CacheEventKind, CacheEventPage, StreamRequest};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// The characters that stand for one token of a prompt.
pub(crate) const BYTES_PER_TOKEN: usize = 16;

/// The size of a cached block, in tokens.
const BLOCK_TOKENS: usize = 16;

/// The newest events that are kept.
const MAX_EVENTS: usize = 10_000;

/// Remembers the prefixes of prompts that were computed lately.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    event_lag: Duration,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    clock: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Makes an empty cache that holds prefixes of so many tokens in sum.
    pub(crate) fn new(tokens: u64, event_lag: Duration) -> Self {
        Self {
            capacity: (tokens as usize / BLOCK_TOKENS).max(1),
            event_lag,
            last_use: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the number of the newest event.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Caches the prompt and returns its tokens that were not cached before.
    pub(crate) fn insert(&mut self, req: &StreamRequest, gaps: bool) -> f64 {
        let block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
        let mut hasher = Xxh3::new();
        hasher.update(req.model.as_str().as_bytes());
        hasher.update(req.version.as_str().as_bytes());
        let mut cached_bytes = 0;
        let mut in_prefix = true;
        for block in req.prompt.as_bytes().chunks_exact(block_bytes) {
            hasher.update(block);
            let known = self.touch(hasher.digest(), gaps);
            in_prefix &= known;
            if in_prefix {
                cached_bytes += block_bytes;
            }
        }
        (req.prompt.len() - cached_bytes) as f64 / BYTES_PER_TOKEN as f64
    }

    /// Marks a prefix as used and tells whether it was cached.
    fn touch(&mut self, digest: u64, gaps: bool) -> bool {
        self.clock += 1;
        let before = self.last_use.insert(digest, self.clock);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, digest);
        if before.is_none() {
            self.publish(digest, CacheEventKind::Stored, gaps);
            self.evict(gaps);
        }
        before.is_some()
    }

    fn evict(&mut self, gaps: bool) {
        while self.last_use.len() > self.capacity {
            let Some((_, digest)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&digest);
            self.publish(digest, CacheEventKind::Evicted, gaps);
        }
    }

    fn publish(&mut self, prefix_digest: u64, kind: CacheEventKind, gaps: bool) {
        self.seq += 1;
        if gaps {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            seq: self.seq,
            prefix_digest,
            kind,
        };
        self.events.push_back((Instant::now(), event));
    }

    /// Returns the events after a number that are old enough to be published.
    pub(crate) fn events_after(&self, after: u64) -> CacheEventPage {
        let events = self
            .events
            .iter()
            .filter(|(at, event)| event.seq > after && at.elapsed() >= self.event_lag)
            .map(|(_, event)| *event)
            .collect();
        CacheEventPage { events }
    }
}
