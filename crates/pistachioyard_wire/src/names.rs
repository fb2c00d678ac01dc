//! Checked names of hosts, workspaces, models and the like.
//!
//! Names are shared immutable strings, because they are cloned into every view
//! and log line. Their form is restricted so that a name can stand in an object
//! key, a metric label or a log line without quoting.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Why a string is not a name.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NameFault {
    /// The name has no characters.
    #[error("the {what} is empty; give 1 to {MAX_NAME_BYTES} characters")]
    Empty {
        /// The kind of name.
        what: &'static str,
    },
    /// The name is longer than a name may be.
    #[error("the {what} '{name}' has {len} characters; {MAX_NAME_BYTES} are allowed")]
    TooLong {
        /// The kind of name.
        what: &'static str,
        /// The name as given.
        name: String,
        /// Its length in bytes.
        len: usize,
    },
    /// The name holds a character that is not allowed.
    #[error("the {what} '{name}' holds {found:?}; letters, digits, '-', '_' and '.' are allowed")]
    BadCharacter {
        /// The kind of name.
        what: &'static str,
        /// The name as given.
        name: String,
        /// The first character that is not allowed.
        found: char,
    },
}

fn check_name(what: &'static str, name: &str) -> Result<(), NameFault> {
    if name.is_empty() {
        return Err(NameFault::Empty { what });
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(NameFault::TooLong {
            what,
            name: name.chars().take(MAX_NAME_BYTES).collect(),
            len: name.len(),
        });
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match name.chars().find(|c| !allowed(c)) {
        Some(found) => Err(NameFault::BadCharacter {
            what,
            name: name.to_owned(),
            found,
        }),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident = $what:literal;)*) => {$(
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
            type Error = NameFault;

            fn try_from(raw: &str) -> Result<Self, NameFault> {
                check_name($what, raw)?;
                Ok(Self(raw.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameFault;

            fn try_from(raw: String) -> Result<Self, NameFault> {
                Self::try_from(raw.as_str())
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameFault;

            fn from_str(raw: &str) -> Result<Self, NameFault> {
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
    /// Names an adapter of a model.
    AdapterName = "adapter name";
    /// Names one call of a plain service.
    CallName = "call name";
    /// Names a data centre.
    DataCentre = "data centre";
    /// Names an endpoint: one worker process that engines or services run.
    EndpointId = "endpoint id";
    /// Names one entry process of the router.
    EntryId = "entry id";
    /// Names a host.
    HostName = "host name";
    /// Names a model.
    ModelName = "model name";
    /// Names a region.
    Region = "region";
    /// Names a plain service.
    ServiceName = "service name";
    /// Names a version of a model.
    VersionName = "version name";
    /// Names a workspace, the unit that shares and limits are given to.
    WorkspaceName = "workspace name";
}
