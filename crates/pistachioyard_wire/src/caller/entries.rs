//! The list of entries that callers should use.

use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{DataCentre, EntryId};

/// An entry that a caller may connect to.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EntryAddress {
    /// The id of the entry.
    pub entry: EntryId,
    /// The address on which the entry listens for callers.
    pub address: SocketAddr,
    /// The data centre of the entry.
    pub data_centre: DataCentre,
}

/// Lists the entries that a caller should use, in order of preference.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EntryList {
    /// The entries, most preferred first.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache the list, in milliseconds.
    pub valid_ms: u64,
}
