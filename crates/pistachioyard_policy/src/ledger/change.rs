//! Applies changes to a ledger page.

use pistachioyard_wire::{EntryId, Nonce, OperationKey, OperationOutcome, RequestDigest};

use super::{Claim, ClaimState, LedgerLayout, LedgerPage, ReleasedNonce};

/// The largest size of a page, in bytes; the object API accepts one megabyte.
const MAX_PAGE_BYTES: usize = 950_000;
/// Space reserved for a claim and its settlement, in bytes, excluding the entry's name and
/// the recorded answer.
const CLAIM_BYTES: usize = 320;
/// Space reserved for one released nonce, in bytes.
const RELEASED_BYTES: usize = 96;

/// Describes one change that an entry requests on a page.
#[derive(Clone, Debug, PartialEq)]
pub enum LedgerChange {
    /// Requests the exclusive right to send the operation.
    Claim {
        /// The operation's key.
        key: OperationKey,
        /// Identifies this attempt; each attempt uses a new nonce.
        nonce: Nonce,
        /// Digest of the request.
        digest: RequestDigest,
        /// The entry that makes the claim.
        entry: EntryId,
    },
    /// Gives up the claim: nothing was sent under the nonce, and nothing will be.
    Release {
        /// The operation's key.
        key: OperationKey,
        /// The nonce to release.
        nonce: Nonce,
    },
    /// Records the outcome of the operation.
    Settle {
        /// The operation's key.
        key: OperationKey,
        /// The nonce under which the operation was sent.
        nonce: Nonce,
        /// The outcome to record.
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

/// Reports the result of one change.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeAnswer {
    /// The nonce holds the key, and its owner may send the operation once.
    ///
    /// The owner may send only after the page is known to be written.
    Claimed,
    /// The claim was refused: another nonce holds the key, or the key is settled.
    Held(Claim),
    /// The key was used before for a different request.
    KeyReused,
    /// The page has no space left for the change.
    PageFull,
    /// The page contains the release or the outcome.
    Recorded,
    /// The nonce does not hold the key, so nothing changed.
    NotHolder,
}

impl LedgerPage {
    /// Applies changes in order and returns one answer for each.
    ///
    /// Applying is idempotent. If the response to a write is lost, the writer reads
    /// the page again and applies the same changes: those that are already in the
    /// page get the same answers as before. The page stays unchanged exactly when
    /// no write is needed.
    ///
    /// A released nonce never claims again, even if its release arrives before its
    /// claim. A claim on a settled key gets [`ChangeAnswer::Held`], even from the
    /// nonce that settled it, so that a delayed duplicate never sends. If an
    /// outcome's answer does not fit into the page, the outcome is recorded
    /// without it.
    pub fn apply(&mut self, changes: &[LedgerChange], layout: &LedgerLayout) -> Vec<ChangeAnswer> {
        let mut bytes = self.reserved_bytes();
        changes
            .iter()
            .map(|change| self.apply_one(change, layout, &mut bytes))
            .collect()
    }

    fn apply_one(
        &mut self,
        change: &LedgerChange,
        layout: &LedgerLayout,
        bytes: &mut usize,
    ) -> ChangeAnswer {
        match change {
            LedgerChange::Claim {
                key,
                nonce,
                digest,
                entry,
            } => {
                let claim = Claim {
                    key: *key,
                    nonce: *nonce,
                    digest: *digest,
                    entry: entry.clone(),
                    state: ClaimState::Claimed,
                };
                self.claim(claim, layout, bytes)
            }
            LedgerChange::Release { key, nonce } => self.release(*key, *nonce, bytes),
            LedgerChange::Settle {
                key,
                nonce,
                outcome,
            } => self.settle(*key, *nonce, outcome, bytes),
        }
    }

    fn claim(&mut self, claim: Claim, layout: &LedgerLayout, bytes: &mut usize) -> ChangeAnswer {
        let released = self.is_released(claim.key, claim.nonce);
        let Some(index) = self.position_of(claim.key) else {
            return if released {
                ChangeAnswer::NotHolder
            } else {
                self.insert_claim(claim, layout, bytes)
            };
        };
        let current = &self.claims[index];
        if current.digest != claim.digest {
            return ChangeAnswer::KeyReused;
        }
        match current.state {
            ClaimState::Claimed if current.nonce == claim.nonce => ChangeAnswer::Claimed,
            ClaimState::Claimed | ClaimState::Settled(_) => ChangeAnswer::Held(current.clone()),
            ClaimState::Released if released || current.nonce == claim.nonce => {
                ChangeAnswer::NotHolder
            }
            ClaimState::Released => self.replace_released(index, claim, bytes),
        }
    }

    fn insert_claim(
        &mut self,
        claim: Claim,
        layout: &LedgerLayout,
        bytes: &mut usize,
    ) -> ChangeAnswer {
        let added = claim_bytes(&claim);
        if self.claims.len() >= layout.max_page_claims || *bytes + added > MAX_PAGE_BYTES {
            return ChangeAnswer::PageFull;
        }
        *bytes += added;
        self.claims.push(claim);
        ChangeAnswer::Claimed
    }

    /// Hands a released key to a new claim and keeps its earlier nonce as released.
    fn replace_released(&mut self, index: usize, claim: Claim, bytes: &mut usize) -> ChangeAnswer {
        let added = RELEASED_BYTES + claim.entry.as_str().len();
        if *bytes + added > MAX_PAGE_BYTES {
            return ChangeAnswer::PageFull;
        }
        *bytes += added;
        let previous = std::mem::replace(&mut self.claims[index], claim);
        self.released.push(ReleasedNonce {
            key: previous.key,
            nonce: previous.nonce,
        });
        ChangeAnswer::Claimed
    }

    fn release(&mut self, key: OperationKey, nonce: Nonce, bytes: &mut usize) -> ChangeAnswer {
        if let Some(index) = self.position_of(key) {
            let current = &mut self.claims[index];
            if current.nonce == nonce {
                return match current.state {
                    ClaimState::Settled(_) => ChangeAnswer::NotHolder,
                    ClaimState::Claimed | ClaimState::Released => {
                        current.state = ClaimState::Released;
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
        let Some(index) = self.position_of(key) else {
            return ChangeAnswer::NotHolder;
        };
        let current = &mut self.claims[index];
        if current.nonce != nonce {
            return ChangeAnswer::NotHolder;
        }
        match current.state {
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
                current.state = ClaimState::Settled(outcome);
                ChangeAnswer::Recorded
            }
        }
    }

    fn position_of(&self, key: OperationKey) -> Option<usize> {
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

/// Returns the space that a claim takes up or has reserved, in bytes.
fn claim_bytes(claim: &Claim) -> usize {
    let answer = match &claim.state {
        ClaimState::Settled(outcome) => answer_bytes(outcome),
        ClaimState::Claimed | ClaimState::Released => 0,
    };
    CLAIM_BYTES + claim.entry.as_str().len() + answer
}

/// Returns the size of an outcome's answer as an escaped JSON string, in bytes.
fn answer_bytes(outcome: &OperationOutcome) -> usize {
    outcome.answer.as_deref().map_or(0, |answer| {
        serde_json::to_string(answer).map_or(usize::MAX / 4, |text| text.len())
    })
}
