//! An LRU cache of prompt prefixes, whose events are published with a delay.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use pistachioyard_wire::{CacheEvent, CacheEventKind, CacheEventPage, StreamRequest};
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// The number of prompt bytes that count as one token.
pub(crate) const BYTES_PER_TOKEN: usize = 16;

/// The size of a cached prompt block, in tokens.
const BLOCK_TOKENS: usize = 16;

/// The maximum number of events kept; the oldest are dropped first.
const MAX_EVENTS: usize = 10_000;

/// Holds the digests of the most recently used prompt prefixes.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    /// The maximum number of cached blocks.
    capacity: usize,
    event_lag: Duration,
    /// The time of the last use of each digest, by the logical clock.
    last_use: HashMap<u64, u64>,
    /// The same pairs by time, oldest first, for eviction.
    by_use: BTreeMap<u64, u64>,
    /// A logical clock that advances with every use.
    clock: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity of `tokens` tokens.
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

    /// Returns the sequence number of the newest event.
    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    /// Caches a prompt and returns the number of its tokens that were not cached before.
    ///
    /// With `drop_events`, new events take sequence numbers but are not published.
    pub(crate) fn insert(&mut self, req: &StreamRequest, drop_events: bool) -> f64 {
        let block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
        let mut hasher = Xxh3::new();
        hasher.update(req.model.as_str().as_bytes());
        hasher.update(req.version.as_str().as_bytes());
        let mut cached_bytes = 0;
        let mut in_prefix = true;
        for block in req.prompt.as_bytes().chunks_exact(block_bytes) {
            hasher.update(block);
            let known = self.touch(hasher.digest(), drop_events);
            in_prefix &= known;
            if in_prefix {
                cached_bytes += block_bytes;
            }
        }
        (req.prompt.len() - cached_bytes) as f64 / BYTES_PER_TOKEN as f64
    }

    /// Marks a prefix as used and returns whether it was already cached.
    fn touch(&mut self, digest: u64, drop_events: bool) -> bool {
        self.clock += 1;
        let before = self.last_use.insert(digest, self.clock);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, digest);
        if before.is_none() {
            self.publish(digest, CacheEventKind::Stored, drop_events);
            self.evict(drop_events);
        }
        before.is_some()
    }

    fn evict(&mut self, drop_events: bool) {
        while self.last_use.len() > self.capacity {
            let Some((_, digest)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&digest);
            self.publish(digest, CacheEventKind::Evicted, drop_events);
        }
    }

    fn publish(&mut self, prefix_digest: u64, kind: CacheEventKind, drop_events: bool) {
        self.seq += 1;
        if drop_events {
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

    /// Returns the events after a sequence number whose publication delay has passed.
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
