//! Validated names of hosts, workspaces, models and other objects.
//!
//! Names are shared immutable strings, because every view and log line holds a
//! clone. Their characters are restricted so that a name can be used in an object
//! key, a metric label or a log line without quoting.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Reports why a string is not a valid name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameError {
    /// The name is empty.
    #[error("the {kind} is empty; expected 1 to {MAX_NAME_BYTES} characters")]
    Empty {
        /// The kind of the name, such as `host name`.
        kind: &'static str,
    },
    /// The name exceeds the maximum length.
    #[error("the {kind} '{name}' has {len} bytes; at most {MAX_NAME_BYTES} are allowed")]
    TooLong {
        /// The kind of the name, such as `host name`.
        kind: &'static str,
        /// The name, truncated for display.
        name: String,
        /// The length of the name, in bytes.
        len: usize,
    },
    /// The name contains a character that is not allowed.
    #[error(
        "the {kind} '{name}' contains {found:?}; letters, digits, '-', '_' and '.' are allowed"
    )]
    BadCharacter {
        /// The kind of the name, such as `host name`.
        kind: &'static str,
        /// The name that was given.
        name: String,
        /// The first character that is not allowed.
        found: char,
    },
}

fn check_name(kind: &'static str, name: &str) -> Result<(), NameError> {
    if name.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong {
            kind,
            name: name.chars().take(MAX_NAME_BYTES).collect(),
            len: name.len(),
        });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.chars().find(|c| !allowed(c)) {
        Some(found) => Err(NameError::BadCharacter {
            kind,
            name: name.to_owned(),
            found,
        }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
        #[schemars(transparent)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(#[schemars(with = "String")] Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(raw: &str) -> Result<Self, NameError> {
                check_name($kind, raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(raw: String) -> Result<Self, NameError> {
                Self::try_from(raw.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(raw: &str) -> Result<Self, NameError> {
                Self::try_from(raw)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// The name of an adapter of a model.
    AdapterName = "adapter name";
    /// The name of a call of a plain service.
    CallName = "call name";
    /// The name of a data centre.
    DataCentre = "data centre";
    /// The id of an endpoint, a worker process of an engine or plain service.
    EndpointId = "endpoint id";
    /// The id of an entry, a process of the router.
    EntryId = "entry id";
    /// The name of a host.
    HostName = "host name";
    /// The name of a model.
    ModelName = "model name";
    /// The name of a region.
    Region = "region";
    /// The name of a plain service.
    ServiceName = "service name";
    /// The name of a model version.
    VersionName = "version name";
    /// The name of a workspace, the unit to which shares and limits apply.
    WorkspaceName = "workspace name";
}
