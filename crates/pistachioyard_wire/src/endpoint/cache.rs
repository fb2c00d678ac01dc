//! Events of an engine's prefix cache, published late and with gaps.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix is cached now.
    Stored,
    /// The prefix is not cached any more.
    Evicted,
}

/// One event of a prefix cache.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a jump is a gap.
    pub seq: u64,
    /// The digest of the prefix.
    pub prefix_digest: u64,
    /// What happened to it.
    pub kind: CacheEventKind,
}

/// The events after the number that was asked for, as far as still kept.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct CacheEventPage {
    /// The events in order, perhaps with gaps.
    pub events: Vec<CacheEvent>,
}
