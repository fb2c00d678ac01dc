//! Remembers which prompt parts are sound.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::PromptPart;

/// How long a part that was sound is no suspect.
pub(super) const PROOF_TTL: Duration = Duration::from_secs(180);
/// The maximum number of parts; those with the oldest proofs are forgotten first.
const MAX_SOUND_PARTS: usize = 16_384;

/// Holds the time of the newest proof that each part is sound.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    by_part: BTreeMap<PromptPart, Instant>,
    /// The same parts in the order of time, so that old ones are found at once.
    by_time: BTreeSet<(Instant, PromptPart)>,
}

impl SoundParts {
    /// Records a proof, unless a newer one is known.
    pub(super) fn record(&mut self, part: PromptPart, proved_at: Instant) {
        let known = self.by_part.get(&part).copied();
        if known.is_some_and(|known| known >= proved_at) {
            return;
        }
        if let Some(known) = known {
            self.by_time.remove(&(known, part));
        } else if self.by_part.len() >= MAX_SOUND_PARTS
            && let Some((_, oldest)) = self.by_time.pop_first()
        {
            self.by_part.remove(&oldest);
        }
        self.by_part.insert(part, proved_at);
        self.by_time.insert((proved_at, part));
    }

    /// Returns the time of the newest proof.
    pub(super) fn proved_at(&self, part: PromptPart) -> Option<Instant> {
        self.by_part.get(&part).copied()
    }

    /// Returns whether a part is no suspect in a crash at `at`. A proof also counts for crashes
    /// before it.
    pub(super) fn covers(&self, part: PromptPart, at: Instant) -> bool {
        let proved_at = self.proved_at(part);
        proved_at.is_some_and(|proved_at| at.saturating_duration_since(proved_at) < PROOF_TTL)
    }

    /// Forgets old proofs.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((proved_at, _)) = self.by_time.first()
            && now.saturating_duration_since(*proved_at) >= PROOF_TTL
        {
            if let Some((_, part)) = self.by_time.pop_first() {
                self.by_part.remove(&part);
            }
        }
    }
}
