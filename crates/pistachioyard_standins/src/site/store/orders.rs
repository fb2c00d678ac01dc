//! Orders of tests to the store.

use serde::Deserialize;

/// Says what a copy of the objects contains.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct CopyOrder {
    /// The kinds that are left out, as in a copy from before they were written.
    pub(super) without: Vec<String>,
}

/// Says how the store comes back from the copy.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RestoreOrder {
    /// How long the store is away before, in milliseconds.
    pub(super) away_ms: u64,
    /// Whether calls get no answer while the store is away; otherwise they get 503.
    pub(super) silent: bool,
    /// How long the store delays the answers to watches afterwards, in milliseconds.
    pub(super) watches_wait_ms: u64,
}

/// Says which calls get no answer although the store serves all others.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct HangOrder {
    /// How long no watch is answered, those that wait already included, in milliseconds.
    pub(super) watches_ms: u64,
    /// The kind of the lists that are not answered.
    pub(super) kind: String,
    /// The number of these lists.
    pub(super) lists: u64,
}
