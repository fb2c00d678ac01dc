//! Tracks which entries may be sending requests, whether this entry hears them or not.
//!
//! Load pattern: entries that are cut off from each other still serve callers. If each side took
//! over the other's part of a shared budget, the budget would be handed out more than once. So an
//! entry that the others may drop gives its own part up before they divide it anew.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::EntryId;

/// Holds the entries that may be sending requests.
#[derive(Clone, Debug)]
pub struct Presence {
    own: EntryId,
    /// How long the retries of an entry count after it has stopped.
    window: Duration,
    /// When each entry was last heard or listed.
    seen_at: BTreeMap<EntryId, Instant>,
    /// The time in which an entry that runs shows in a list; `None` before the first list.
    shows_within: Option<Duration>,
    /// When this entry was last known to count at all others.
    confirmed_at: Option<Instant>,
}

impl Presence {
    /// Creates the presence that the process of an entry starts with, for a budget that is counted
    /// over `window`.
    pub fn new(own: EntryId, window: Duration) -> Self {
        Self {
            own,
            window,
            seen_at: BTreeMap::new(),
            shows_within: None,
            confirmed_at: None,
        }
    }

    /// Records the entries that are live, this one included.
    pub fn note_live(&mut self, live: impl IntoIterator<Item = EntryId>, now: Instant) {
        for entry in live {
            self.seen_at.insert(entry, now);
        }
        if self.seen_at.values().all(|seen_at| *seen_at == now) {
            self.confirm(now);
        }
    }

    /// Records the entries that are registered in the store, in whose lists an entry that runs
    /// shows within `shows_within`. Drops those that have been neither registered nor live for
    /// that time, and for a window more, in which what they sent still counts.
    ///
    /// Only a list drops entries: one that reaches neither peers nor the store may be the one
    /// that is cut off.
    pub fn note_registered(
        &mut self,
        registered: &[EntryId],
        shows_within: Duration,
        now: Instant,
    ) {
        for entry in registered {
            self.seen_at.insert(entry.clone(), now);
        }
        let max_age = self.window + shows_within;
        self.seen_at
            .retain(|_, seen_at| now.saturating_duration_since(*seen_at) <= max_age);
        self.shows_within = Some(shows_within);
        if registered.contains(&self.own) {
            self.confirm(now);
        }
    }

    /// Returns the number of entries among which a shared budget is divided; `None` if this entry
    /// may take no part.
    ///
    /// It may take none before it has read a list, since it cannot know how many others there
    /// are, and once the others may be about to drop it: if it was neither listed nor heard all
    /// others for the time in which an entry that runs shows in a list.
    pub fn parts(&self, now: Instant) -> Option<usize> {
        let since = now.saturating_duration_since(self.confirmed_at?);
        (since <= self.shows_within?).then_some(self.seen_at.len())
    }

    fn confirm(&mut self, now: Instant) {
        self.confirmed_at = Some(now);
    }
}
