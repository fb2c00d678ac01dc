//! Applying configurations and seeing where they are in force.

use std::net::SocketAddr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{ApplyId, DataCentre, EntryId, Revision};

/// A configuration that the platform holds; also the content of its head object.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct AcceptedConfig {
    /// Grows by one with each accepted file.
    pub revision: Revision,
    /// XXH3 of the text, 16 hexadecimal digits.
    pub digest: String,
    /// The operators' file, unchanged.
    #[schemars(with = "String")]
    pub text: Arc<str>,
    /// The newest applies, newest last; a lost answer is settled from these.
    pub applies: Vec<ApplyId>,
}

/// Asks to accept a file.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Marks this apply; sent again unchanged after a lost answer.
    pub apply: ApplyId,
    /// The revision that the operator has seen; another in force is a conflict.
    pub base: Revision,
    /// The operators' file.
    pub text: String,
}

/// What became of an apply.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ApplyAnswer {
    /// The file is accepted and in force at the entry that answers.
    Accepted {
        /// Its revision.
        revision: Revision,
    },
    /// Another file was accepted since the base revision; nothing has changed.
    Conflict {
        /// The revision in force.
        revision: Revision,
    },
    /// The file has faults; nothing has changed.
    Rejected {
        /// Every fault found.
        faults: Vec<String>,
    },
    /// The platform did not answer; send the same apply again to settle it.
    Undecided {
        /// What happened.
        detail: String,
    },
}

/// One entry as its peers see it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EntryStatus {
    /// The entry.
    pub entry: EntryId,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// Its state: live, draining or lost.
    pub state: crate::EntryState,
    /// The revision in force there.
    pub revision: Revision,
}

/// Where the configuration is in force, as one entry sees it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct ForceStatus {
    /// The entry that answers.
    pub entry: EntryId,
    /// The revision in force there.
    pub revision: Revision,
    /// The digest of its text.
    pub digest: String,
    /// Whether the entry takes new work.
    pub ready: bool,
    /// The endpoints that it would give new work to.
    pub usable_endpoints: u32,
    /// Whether the platform answered its last call.
    pub platform_reachable: bool,
    /// All entries it knows, itself included.
    pub entries: Vec<EntryStatus>,
}
