//! The claim ledger: which process may send a non-idempotent operation.
//!
//! A page is one object of the platform. A key belongs to exactly one page, so
//! one read tells all about it. A page changes by conditional writes only. See
//! `docs/design/claim-ledger.md`.

mod change;
mod shape;

use pistachioyard_wire::{EntryId, Nonce, OperationKey, OperationOutcome, RequestDigest};
use serde::{Deserialize, Serialize};

pub use change::{ChangeAnswer, LedgerChange};
pub use shape::{KeyAgeFault, LedgerShape};

/// What became of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Its holder may have sent the operation; nobody else ever may.
    Claimed,
    /// Its holder sent nothing and never will; another nonce may claim the key.
    Released,
    /// The outcome is recorded.
    Settled(OperationOutcome),
}

/// The newest claim of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The operation's key.
    #[serde(rename = "k")]
    pub key: OperationKey,
    /// Marks the one attempt that holds the key.
    #[serde(rename = "n")]
    pub nonce: Nonce,
    /// What was asked, so that a key reused for another request is seen.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The entry that claimed.
    #[serde(rename = "b")]
    pub by: EntryId,
    /// What became of the claim.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// Why a text is not a ledger page.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LedgerFault {
    /// The text cannot be decoded.
    #[error("the ledger page cannot be decoded: {why}; restore the object from its last version")]
    Malformed {
        /// The decoder's reason.
        why: String,
    },
    /// A key stands in the page twice, so its holder is not known.
    #[error("the ledger page holds the key {key} twice; restore the object from its last version")]
    DoubledKey {
        /// The key.
        key: OperationKey,
    },
}

/// A nonce that was released and may never claim its key again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ReleasedNonce {
    #[serde(rename = "k")]
    key: OperationKey,
    #[serde(rename = "n")]
    nonce: Nonce,
}

/// The content of one page object: its claims in order of arrival.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LedgerPage {
    #[serde(rename = "c")]
    claims: Vec<Claim>,
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    released: Vec<ReleasedNonce>,
}

impl LedgerPage {
    /// Reads a page from the value of its object.
    ///
    /// # Errors
    ///
    /// Fails on a text that is not a page, or that holds a key twice. No claim
    /// may be made on such a page.
    pub fn parse(text: &str) -> Result<Self, LedgerFault> {
        let page: Self = serde_json::from_str(text)
            .map_err(|e| LedgerFault::Malformed { why: e.to_string() })?;
        let mut keys: Vec<OperationKey> = page.claims.iter().map(|claim| claim.key).collect();
        keys.sort_unstable();
        match keys.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(LedgerFault::DoubledKey { key: pair[0] }),
            None => Ok(page),
        }
    }

    /// Writes the page as the value of its object.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a page has string keys only and encodes to JSON")
    }

    /// Returns the newest claim of a key.
    pub fn find(&self, key: OperationKey) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.key == key)
    }
}
