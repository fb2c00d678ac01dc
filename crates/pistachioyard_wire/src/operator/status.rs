//! Messages to apply a configuration and to see where it is in force.

use std::net::SocketAddr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ApplyId, DataCentre, EntryId, Revision};

/// An accepted configuration, which is also the content of the object `config/head`
/// on the platform.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct AcceptedConfig {
    /// The revision, which increases by one with each accepted file.
    pub revision: Revision,
    /// The XXH3 digest of the text, as 16 hexadecimal digits.
    pub digest: String,
    /// The text of the configuration file, unchanged.
    #[schemars(with = "String")]
    pub text: Arc<str>,
    /// The ids of the most recent applies, newest last.
    ///
    /// An apply whose response was lost is looked up here.
    pub applies: Vec<ApplyId>,
}

/// A request to accept a configuration file.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The id of this apply; a retry after a lost response carries the same id.
    pub apply: ApplyId,
    /// The revision that the change is based on; it must be the last accepted revision, which
    /// may not be in force yet, or the answer is a conflict.
    pub base: Revision,
    /// The text of the configuration file.
    pub text: String,
}

/// The outcome of an apply.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// The file was accepted and is in force at the responding entry.
    Accepted {
        /// The revision of the accepted file.
        revision: Revision,
    },
    /// The base is not the last accepted revision, or the apply id was already used for another
    /// text; nothing was changed.
    Conflict {
        /// The last accepted revision, which may not be in force yet.
        revision: Revision,
    },
    /// The file has errors; nothing was changed.
    Rejected {
        /// Every error that was found.
        faults: Vec<String>,
    },
    /// The platform did not respond; send the same apply again to learn its outcome.
    Undecided {
        /// What happened.
        detail: String,
    },
}

/// One entry as its peers see it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EntryStatus {
    /// The id of the entry.
    pub entry: EntryId,
    /// The address on which the entry listens for callers.
    pub address: SocketAddr,
    /// The data centre of the entry.
    pub data_centre: DataCentre,
    /// The state of the entry: live, draining or lost.
    pub state: crate::EntryState,
    /// The revision in force at the entry.
    pub revision: Revision,
}

/// Reports where the configuration is in force, as one entry sees it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ForceStatus {
    /// The id of the responding entry.
    pub entry: EntryId,
    /// The revision in force at the entry.
    pub revision: Revision,
    /// The digest of the configuration text in force at the entry.
    pub digest: String,
    /// Whether the entry accepts new work.
    pub ready: bool,
    /// The number of endpoints to which the entry would send new work.
    pub usable_endpoints: u32,
    /// Whether the platform responded to the entry's last call.
    pub platform_reachable: bool,
    /// All entries that the entry knows, including itself.
    pub entries: Vec<EntryStatus>,
}
