//! How a page changes.

use pistachioyard_wire::{EntryId, Nonce, OperationKey, OperationOutcome, RequestDigest};

use super::{Claim, ClaimState, LedgerPage, LedgerShape, ReleasedNonce};

/// The most bytes of a page; the object API holds a megabyte.
const MAX_PAGE_BYTES: usize = 950_000;
/// Room kept for a claim and its settlement, without names and answer, in bytes.
const CLAIM_BYTES: usize = 320;
/// Room kept for one released nonce, in bytes.
const RELEASED_BYTES: usize = 96;

/// One change that an entry wants on a page.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerChange {
    /// Asks to be the only one that may send the operation.
    Claim {
        /// The operation's key.
        key: OperationKey,
        /// Marks this attempt; made anew for each.
        nonce: Nonce,
        /// What is asked.
        digest: RequestDigest,
        /// The entry that asks.
        by: EntryId,
    },
    /// States that nothing was sent under the nonce and nothing will be.
    Release {
        /// The operation's key.
        key: OperationKey,
        /// The nonce that is given up.
        nonce: Nonce,
    },
    /// Records what became of the operation.
    Settle {
        /// The operation's key.
        key: OperationKey,
        /// The nonce under which it was sent.
        nonce: Nonce,
        /// What became of it.
        outcome: OperationOutcome,
    },
}

impl LedgerChange {
    /// Returns the operation's key.
    pub fn key(&self) -> OperationKey {
        match self {
            Self::Claim { key, .. } | Self::Release { key, .. } | Self::Settle { key, .. } => *key,
        }
    }
}

/// What a change came to.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAnswer {
    /// The nonce holds the key, and its owner may send once.
    ///
    /// This holds only once the page is known to be written.
    Claimed,
    /// The key is not to be had: another nonce holds it or it is settled.
    Held(Claim),
    /// The key was used before for another request.
    KeyReused,
    /// The page has no room.
    PageFull,
    /// The release or outcome stands in the page.
    Recorded,
    /// The nonce does not hold the key, so nothing was changed.
    NotHolder,
}

impl LedgerPage {
    /// Applies changes in order and answers each.
    ///
    /// This is idempotent. After a write whose answer was lost, the writer reads
    /// the page back and applies the same changes again: what already stands
    /// there is answered as it was the first time. The page is unchanged exactly
    /// when no write is needed.
    ///
    /// A released nonce never claims again, not even when its release arrives
    /// before its claim. A settled key answers [`ChangeAnswer::Held`] to its own
    /// nonce as well, so that a delayed duplicate never sends. An outcome whose
    /// answer does not fit into the page is recorded without the answer.
    pub fn apply(&mut self, changes: &[LedgerChange], shape: &LedgerShape) -> Vec<ChangeAnswer> {
        let mut bytes = self.reserved_bytes();
        changes
            .iter()
            .map(|change| self.apply_one(change, shape, &mut bytes))
            .collect()
    }

    fn apply_one(
        &mut self,
        change: &LedgerChange,
        shape: &LedgerShape,
        bytes: &mut usize,
    ) -> ChangeAnswer {
        match change {
            LedgerChange::Claim {
                key,
                nonce,
                digest,
                by,
            } => {
                let claim = Claim {
                    key: *key,
                    nonce: *nonce,
                    digest: *digest,
                    by: by.clone(),
                    state: ClaimState::Claimed,
                };
                self.claim(claim, shape, bytes)
            }
            LedgerChange::Release { key, nonce } => self.release(*key, *nonce, bytes),
            LedgerChange::Settle {
                key,
                nonce,
                outcome,
            } => self.settle(*key, *nonce, outcome, bytes),
        }
    }

    fn claim(&mut self, claim: Claim, shape: &LedgerShape, bytes: &mut usize) -> ChangeAnswer {
        let released = self.is_released(claim.key, claim.nonce);
        let Some(place) = self.place_of(claim.key) else {
            return if released {
                ChangeAnswer::NotHolder
            } else {
                self.claim_new(claim, shape, bytes)
            };
        };
        let present = &self.claims[place];
        if present.digest != claim.digest {
            return ChangeAnswer::KeyReused;
        }
        match present.state {
            ClaimState::Claimed if present.nonce == claim.nonce => ChangeAnswer::Claimed,
            ClaimState::Claimed | ClaimState::Settled(_) => ChangeAnswer::Held(present.clone()),
            ClaimState::Released if released || present.nonce == claim.nonce => {
                ChangeAnswer::NotHolder
            }
            ClaimState::Released => self.claim_anew(place, claim, bytes),
        }
    }

    fn claim_new(&mut self, claim: Claim, shape: &LedgerShape, bytes: &mut usize) -> ChangeAnswer {
        let added = claim_bytes(&claim);
        if self.claims.len() >= shape.max_page_claims || *bytes + added > MAX_PAGE_BYTES {
            return ChangeAnswer::PageFull;
        }
        *bytes += added;
        self.claims.push(claim);
        ChangeAnswer::Claimed
    }

    fn claim_anew(&mut self, place: usize, claim: Claim, bytes: &mut usize) -> ChangeAnswer {
        let added = RELEASED_BYTES + claim.by.as_str().len();
        if *bytes + added > MAX_PAGE_BYTES {
            return ChangeAnswer::PageFull;
        }
        *bytes += added;
        let before = std::mem::replace(&mut self.claims[place], claim);
        self.released.push(ReleasedNonce {
            key: before.key,
            nonce: before.nonce,
        });
        ChangeAnswer::Claimed
    }

    fn release(&mut self, key: OperationKey, nonce: Nonce, bytes: &mut usize) -> ChangeAnswer {
        if let Some(place) = self.place_of(key) {
            let present = &mut self.claims[place];
            if present.nonce == nonce {
                return match present.state {
                    ClaimState::Settled(_) => ChangeAnswer::NotHolder,
                    ClaimState::Claimed | ClaimState::Released => {
                        present.state = ClaimState::Released;
                        ChangeAnswer::Recorded
                    }
                };
            }
        }
        if self.is_released(key, nonce) {
            return ChangeAnswer::Recorded;
        }
        if *bytes + RELEASED_BYTES > MAX_PAGE_BYTES {
            return ChangeAnswer::PageFull;
        }
        *bytes += RELEASED_BYTES;
        self.released.push(ReleasedNonce { key, nonce });
        ChangeAnswer::Recorded
    }

    fn settle(
        &mut self,
        key: OperationKey,
        nonce: Nonce,
        outcome: &OperationOutcome,
        bytes: &mut usize,
    ) -> ChangeAnswer {
        let Some(place) = self.place_of(key) else {
            return ChangeAnswer::NotHolder;
        };
        let present = &mut self.claims[place];
        if present.nonce != nonce {
            return ChangeAnswer::NotHolder;
        }
        match present.state {
            ClaimState::Released => ChangeAnswer::NotHolder,
            ClaimState::Settled(_) => ChangeAnswer::Recorded,
            ClaimState::Claimed => {
                let mut outcome = outcome.clone();
                let added = answer_bytes(&outcome);
                if *bytes + added > MAX_PAGE_BYTES {
                    outcome.answer = None;
                } else {
                    *bytes += added;
                }
                present.state = ClaimState::Settled(outcome);
                ChangeAnswer::Recorded
            }
        }
    }

    fn place_of(&self, key: OperationKey) -> Option<usize> {
        self.claims.iter().position(|claim| claim.key == key)
    }

    fn is_released(&self, key: OperationKey, nonce: Nonce) -> bool {
        self.released.contains(&ReleasedNonce { key, nonce })
    }

    fn reserved_bytes(&self) -> usize {
        let claims: usize = self.claims.iter().map(claim_bytes).sum();
        claims + self.released.len() * RELEASED_BYTES
    }
}

fn claim_bytes(claim: &Claim) -> usize {
    let answer = match &claim.state {
        ClaimState::Settled(outcome) => answer_bytes(outcome),
        ClaimState::Claimed | ClaimState::Released => 0,
    };
    CLAIM_BYTES + claim.by.as_str().len() + answer
}

/// Returns the bytes of an answer as a JSON string, escapes included.
fn answer_bytes(outcome: &OperationOutcome) -> usize {
    outcome.answer.as_deref().map_or(0, |answer| {
        serde_json::to_string(answer).map_or(usize::MAX / 4, |text| text.len())
    })
}
