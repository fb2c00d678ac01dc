//! Events of an engine's prefix cache, which may arrive late and with gaps.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The kind of a change to a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
}

/// A change to a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The sequence number, which increases by one per event; a jump is a gap.
    pub seq: u64,
    /// The digest of the prefix.
    pub prefix_digest: u64,
    /// The kind of the change.
    pub kind: CacheEventKind,
}

/// The retained events after the requested sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct CacheEventPage {
    /// The events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
}
