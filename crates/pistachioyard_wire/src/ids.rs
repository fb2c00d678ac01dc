//! Identifiers and counters that processes exchange.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

/// Why a string is not an identifier.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum IdFault {
    /// The text is not a UUID at all.
    #[error("'{raw}' is not a UUID; give a UUIDv7 such as 0190c42e-7a00-7000-8000-000000000000")]
    NotUuid {
        /// The text as given, cut to a printable length.
        raw: String,
    },
    /// The UUID is of a version that does not carry its time of creation.
    #[error("the key {raw} is a UUID of version {version}; give a UUIDv7, whose age can be read")]
    NotVersion7 {
        /// The UUID as given.
        raw: Uuid,
        /// The version it claims.
        version: usize,
    },
}

macro_rules! uuid_ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub Uuid);

        impl $name {
            /// Makes a new identifier that no other process makes.
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
    /// Marks one `apply`, so that a lost answer can be settled by reading back.
    ApplyId;
    /// Marks one run of an endpoint or entry process, made anew at each start.
    BootId;
    /// Marks one claim of an operation key.
    Nonce;
    /// Marks one request of a caller at one entry.
    RequestId;
    /// Marks one token stream through a chain, over all its attempts.
    StreamId;
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the number that follows this one.
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
    /// Counts the attempts of one stream; engines drop frames of older ones.
    Attempt;
    /// Orders the holders of a controller lease; a higher number is newer.
    Fence;
    /// Orders accepted configurations; 0 stands for none.
    Revision;
}

/// Identifies an operation over all its repetitions by the caller.
///
/// It is a UUIDv7, because the claim ledger finds the place of a key from the
/// time inside it (`docs/design/claim-ledger.md`).
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(into = "Uuid", try_from = "Uuid")]
pub struct OperationKey(Uuid);

impl OperationKey {
    /// Returns the key's time of creation, in milliseconds since the Unix epoch.
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
    type Error = IdFault;

    fn try_from(raw: Uuid) -> Result<Self, IdFault> {
        match raw.get_version_num() {
            7 => Ok(Self(raw)),
            version => Err(IdFault::NotVersion7 { raw, version }),
        }
    }
}

impl TryFrom<&str> for OperationKey {
    type Error = IdFault;

    fn try_from(raw: &str) -> Result<Self, IdFault> {
        let uuid = Uuid::try_parse(raw).map_err(|_| IdFault::NotUuid {
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

/// Identifies what a request asks, so that a repeated request is recognised.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RequestDigest(pub u64);

impl RequestDigest {
    /// Computes the digest of a request's parts, each kept apart from the next.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}
