//! Event counts from which the burn rates of service levels are computed.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ServiceLevel;
use crate::EntryId;

/// The events in one time window, at one entry or summed over entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct WindowCount {
    /// The length of the window, in seconds.
    pub window_s: u64,
    /// The number of events that met the service level.
    pub good: u64,
    /// The total number of events.
    pub total: u64,
}

/// The event counts of one service level.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LevelCounts {
    /// The service level.
    pub level: ServiceLevel,
    /// The counts, one per window.
    pub windows: Vec<WindowCount>,
}

/// The event counts of one entry (`GET /v1/burn`).
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EntryBurn {
    /// The id of the entry.
    pub entry: EntryId,
    /// The counts for each service level of the configuration in force at the entry.
    pub levels: Vec<LevelCounts>,
    /// The number of generate requests that ended since the entry started, by result:
    /// `done`, `caller_gone` or the kind of the problem.
    pub ended: BTreeMap<String, u64>,
    /// The number of operations that ended since the entry started, by result: `done`
    /// or the kind of the problem.
    #[serde(default)]
    pub operations: BTreeMap<String, u64>,
}
