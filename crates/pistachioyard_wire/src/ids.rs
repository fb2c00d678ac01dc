//! Identifiers and counters that processes exchange.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

/// Reports why a string is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum IdError {
    /// The text is not a UUID.
    #[error(
        "'{raw}' is not a UUID; expected a UUIDv7 such as 0190c42e-7a00-7000-8000-000000000000"
    )]
    NotUuid {
        /// The invalid text, truncated for display.
        raw: String,
    },
    /// The UUID is not of version 7, whose timestamp gives the age of the key.
    #[error(
        "the key {raw} is a UUID of version {version}; expected version 7, whose timestamp gives \
         its age"
    )]
    NotVersion7 {
        /// The UUID that was given.
        raw: Uuid,
        /// The version of the UUID.
        version: usize,
    },
}

macro_rules! uuid_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd,
            Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// Generates a new, globally unique identifier.
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

uuid_ids! {
    /// Identifies an `apply`; if its response is lost, a read-back of this id shows
    /// whether it took effect.
    ApplyId;
    /// Identifies a run of an endpoint or entry process; generated at each start.
    BootId;
    /// Identifies one attempt to claim an idempotency key in the claim ledger.
    Nonce;
    /// Identifies a request from a caller at one entry.
    RequestId;
    /// Identifies a token stream through a chain across all its attempts.
    StreamId;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq,
            PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor, saturating at the maximum.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

counters! {
    /// Numbers the attempts of a stream; frames of older attempts are dropped.
    Attempt;
    /// The fencing token of a controller lease; a newer holder has a higher one.
    Fence;
    /// Numbers the accepted configurations; 0 means none.
    Revision;
}

/// The idempotency key that identifies an operation across all retries of the caller.
///
/// It is a UUIDv7, because the claim ledger locates the page of a key by the
/// timestamp in the key (`docs/design/claim-ledger.md`).
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(into = "Uuid", try_from = "Uuid")]
pub struct OperationKey(Uuid);

impl OperationKey {
    /// Returns when the key was created, in milliseconds since the Unix epoch.
    pub fn created_unix_ms(self) -> u64 {
        let (seconds, nanos) = self
            .0
            .get_timestamp()
            .map_or((0, 0), |timestamp| timestamp.to_unix());
        seconds * 1_000 + u64::from(nanos) / 1_000_000
    }

    /// Returns the key as a UUID.
    pub fn as_uuid(self) -> Uuid {
        self.0
    }
}

impl TryFrom<Uuid> for OperationKey {
    type Error = IdError;

    fn try_from(raw: Uuid) -> Result<Self, IdError> {
        match raw.get_version_num() {
            7 => Ok(Self(raw)),
            version => Err(IdError::NotVersion7 { raw, version }),
        }
    }
}

impl TryFrom<&str> for OperationKey {
    type Error = IdError;

    fn try_from(raw: &str) -> Result<Self, IdError> {
        let uuid = Uuid::try_parse(raw).map_err(|_| IdError::NotUuid {
            raw: raw.chars().take(64).collect(),
        })?;
        Self::try_from(uuid)
    }
}

impl From<OperationKey> for Uuid {
    fn from(key: OperationKey) -> Self {
        key.0
    }
}

impl fmt::Display for OperationKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// The digest of a request's content, by which repeated requests are recognised.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Computes the digest of a request's parts.
    ///
    /// Each part is prefixed with its length, so that moving bytes between parts changes
    /// the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The digest of the id of a prompt part that requests share, such as a system prompt.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Computes the digest of a part's id.
    pub fn of(id: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
