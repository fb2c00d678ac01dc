//! Points in the history of a store that may come back from an older copy.
//!
//! Each return starts a new era, in which revisions of the last one are given out again, so
//! revisions of different eras cannot be compared.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Counts how often the store came back from an older copy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// Tells whether a store came back from an older copy between two of its answers.
///
/// An unknown era is taken for the same one.
pub fn is_later_era(now: Option<StoreEra>, before: Option<StoreEra>) -> bool {
    now.zip(before).is_some_and(|(now, before)| now > before)
}

/// Tells whether two answers of a store are of different eras, so that a list has to be read again.
///
/// An unknown era is taken for the same one.
pub fn is_other_era(now: Option<StoreEra>, before: Option<StoreEra>) -> bool {
    now.zip(before).is_some_and(|(now, before)| now != before)
}

/// Holds a revision and the era that it is of, if that is known.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePosition {
    /// The era.
    pub era: Option<StoreEra>,
    /// The revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Returns whether an object whose last change was here has not changed, since its last
    /// change is at `now`; a revision that a later era gives out again is another change.
    pub fn is_unchanged(&self, now: Self) -> bool {
        self.revision == now.revision && !is_later_era(now.era, self.era)
    }

    /// Returns whether another position is later; if an era is unknown, only the revisions count.
    pub fn is_before(&self, other: Self) -> bool {
        match (self.era, other.era) {
            (Some(own), Some(others)) if own != others => own < others,
            _ => self.revision < other.revision,
        }
    }
}

/// Tracks the newest change that a watch has delivered, and detects that peers know of a newer
/// one.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchLag {
    newest: StorePosition,
    /// A newer change that a peer knows of, and since when that is known here. Other peers that
    /// do not know of it say nothing about it.
    ahead: Option<(StorePosition, Instant)>,
}

impl WatchLag {
    /// Returns the position of the newest change.
    pub fn newest(&self) -> StorePosition {
        self.newest
    }

    /// Records a change, or the start of an era, at revision 0.
    pub fn note(&mut self, seen: StorePosition) {
        if self.newest.is_before(seen) {
            self.newest.revision = seen.revision;
        }
        self.newest.era = self.newest.era.max(seen.era);
    }

    /// Records a list of a store whose revisions have begun anew.
    pub fn restart(&mut self, listed: StorePosition) {
        *self = Self {
            newest: listed,
            ahead: None,
        };
    }

    /// Returns whether to list again, because a peer has known of a newer change for longer
    /// than `max_lag`, or of a later era.
    pub fn check(&mut self, peer: StorePosition, now: Instant, max_lag: Duration) -> bool {
        // What the own watch has delivered by now is no longer ahead.
        self.ahead = self
            .ahead
            .filter(|(position, _)| self.newest.is_before(*position));
        if !self.newest.is_before(peer) {
            return false;
        }
        let (_, since) = *self.ahead.get_or_insert((peer, now));
        let is_due = is_later_era(peer.era, self.newest.era)
            || now.saturating_duration_since(since) > max_lag;
        if is_due {
            self.ahead = None;
        }
        is_due
    }
}
