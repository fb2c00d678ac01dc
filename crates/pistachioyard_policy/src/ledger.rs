//! The claim ledger, which grants one process the right to send a non-idempotent operation.
//!
//! A page is one object of the platform. A key belongs to exactly one page, so a
//! single read returns everything recorded about it. Pages change by conditional
//! writes only. See `docs/design/claim-ledger.md`.

mod change;
mod layout;

use pistachioyard_wire::{EntryId, Nonce, OperationKey, OperationOutcome, RequestDigest};
use serde::{Deserialize, Serialize};

pub use change::{ChangeAnswer, LedgerChange};
pub use layout::{KeyAgeError, LedgerLayout};

/// Describes how far a claim has got.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The holder may have sent the operation; no other attempt may send it.
    Claimed,
    /// The holder sent nothing and never will; another nonce may claim the key.
    Released,
    /// The outcome of the operation is recorded.
    Settled(OperationOutcome),
}

/// Holds the newest claim of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// The operation's key.
    #[serde(rename = "k")]
    pub key: OperationKey,
    /// Identifies the attempt that holds the key.
    #[serde(rename = "n")]
    pub nonce: Nonce,
    /// Digest of the request, which detects a key reused for another request.
    #[serde(rename = "d")]
    pub digest: RequestDigest,
    /// The entry that made the claim.
    #[serde(rename = "b")]
    pub entry: EntryId,
    /// How far the claim has got.
    #[serde(rename = "s")]
    pub state: ClaimState,
}

/// Reports why a text is not a valid ledger page.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LedgerPageError {
    /// The text cannot be decoded.
    #[error(
        "the ledger page cannot be decoded: {reason}; \
         restore the object from its last valid version"
    )]
    Malformed {
        /// The decoder's reason.
        reason: String,
    },
    /// The page lists a key twice, so the key's holder is unknown.
    #[error(
        "the ledger page lists the key {key} twice; restore the object from its last valid version"
    )]
    DoubledKey {
        /// The duplicated key.
        key: OperationKey,
    },
}

/// Marks a nonce as released: it may never claim its key again.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ReleasedNonce {
    #[serde(rename = "k")]
    key: OperationKey,
    #[serde(rename = "n")]
    nonce: Nonce,
}

/// Holds the content of one page object: the newest claim of each key, and released nonces.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LedgerPage {
    #[serde(rename = "c")]
    claims: Vec<Claim>,
    #[serde(default, rename = "r", skip_serializing_if = "Vec::is_empty")]
    released: Vec<ReleasedNonce>,
}

impl LedgerPage {
    /// Decodes a page from the value of its object.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a page or lists a key twice. Such a page accepts no
    /// claims.
    pub fn parse(text: &str) -> Result<Self, LedgerPageError> {
        let page: Self = serde_json::from_str(text).map_err(|e| LedgerPageError::Malformed {
            reason: e.to_string(),
        })?;
        let mut keys: Vec<OperationKey> = page.claims.iter().map(|claim| claim.key).collect();
        keys.sort_unstable();
        match keys.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(LedgerPageError::DoubledKey { key: pair[0] }),
            None => Ok(page),
        }
    }

    /// Encodes the page as the value of its object.
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a page has string keys only and encodes to JSON")
    }

    /// Returns the newest claim of a key, if the page has one.
    pub fn find(&self, key: OperationKey) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.key == key)
    }
}
