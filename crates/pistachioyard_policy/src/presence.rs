//! Tracks which entries may be sending requests, whether this entry hears them or not.
//!
//! Load pattern: entries that are cut off from each other still serve callers. If each side took
//! over the other's part of a shared budget, the budget would be handed out more than once.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::EntryId;

/// Holds the entries that may be sending requests.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    /// When each entry was last heard or listed.
    seen_at: BTreeMap<EntryId, Instant>,
}

impl Presence {
    /// Records that an entry was heard.
    pub fn note_heard(&mut self, entry: &EntryId, now: Instant) {
        match self.seen_at.get_mut(entry) {
            Some(seen_at) => *seen_at = now,
            None => drop(self.seen_at.insert(entry.clone(), now)),
        }
    }

    /// Records the entries that are registered in the store, and drops those that were neither
    /// registered nor heard for `max_age`.
    ///
    /// Only a list drops entries: one that reaches neither peers nor the store may be the one
    /// that is cut off.
    pub fn note_registered(&mut self, registered: &[EntryId], max_age: Duration, now: Instant) {
        for entry in registered {
            self.note_heard(entry, now);
        }
        self.seen_at
            .retain(|_, seen_at| now.saturating_duration_since(*seen_at) <= max_age);
    }

    /// Returns the number of entries.
    pub fn count(&self) -> usize {
        self.seen_at.len()
    }
}
