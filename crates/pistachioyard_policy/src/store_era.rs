//! Tells answers that a store gave before it came back from an older copy from those of a store
//! whose eras have begun anew.

use std::time::{Duration, Instant};

use crate::store_position::StoreEra;

/// How long no answer may have named the known era before an earlier one is believed. Answers of
/// both eras may alternate while the store comes back.
const DISBELIEF: Duration = Duration::from_secs(3);

/// Says what the era of an answer tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EraNews {
    /// The known one, none, or the first.
    Same,
    /// The store came back from an older copy.
    Later,
    /// The store is in an earlier era than before.
    WentBack,
    /// The answer is from before the store came back.
    Outdated,
}

/// Tracks the era of a store by its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct EraTracker {
    /// The known era, and when an answer last named it.
    known: Option<(StoreEra, Instant)>,
}

impl EraTracker {
    /// Returns the known era.
    pub fn known(&self) -> Option<StoreEra> {
        self.known.map(|(era, _)| era)
    }

    /// Records the era that an answer names whose call was sent at `sent_at`.
    pub fn note(&mut self, named: Option<StoreEra>, sent_at: Instant, now: Instant) -> EraNews {
        let Some(named) = named else {
            return EraNews::Same;
        };
        let news = match self.known {
            Some((known, _)) if named > known => EraNews::Later,
            Some((known, named_at)) if named < known => {
                if sent_at.saturating_duration_since(named_at) < DISBELIEF {
                    return EraNews::Outdated;
                }
                EraNews::WentBack
            }
            _ => EraNews::Same,
        };
        self.known = Some((named, now));
        news
    }
}
