//! Points in the history of a store that may come back from an older copy.
//!
//! Each return starts a new era, in which revisions of the last one are given out again, so
//! revisions of different eras cannot be compared.

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

/// Holds a revision and the era that it is of, if that is known.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StorePosition {
    /// The era.
    pub era: Option<StoreEra>,
    /// The revision within the era.
    pub revision: u64,
}
