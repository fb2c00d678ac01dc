//! Which entries a caller shall use.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, EntryId};

/// One entry that a caller may connect to.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EntryAddress {
    /// The entry.
    pub entry: EntryId,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
}

/// The entries to use, the best one first.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EntryList {
    /// The entries in order of preference.
    pub entries: Vec<EntryAddress>,
    /// How long the list may be kept, in milliseconds.
    pub valid_ms: u64,
}
