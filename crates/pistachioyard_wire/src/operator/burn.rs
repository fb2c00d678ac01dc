//! Counts for the report on service-level burn.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ServiceLevel;
use crate::EntryId;

/// The events of one window at one entry, or merged over entries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct WindowCount {
    /// The length of the window, in seconds.
    pub window_s: u64,
    /// The events that met the service level.
    pub good: u64,
    /// All events.
    pub total: u64,
}

/// The counts of one service level.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct LevelCounts {
    /// The service level.
    pub level: ServiceLevel,
    /// A count for each window.
    pub windows: Vec<WindowCount>,
}

/// What one entry has counted (`GET /v1/burn`).
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct EntryBurn {
    /// The entry.
    pub entry: EntryId,
    /// The service levels of the configuration in force there.
    pub levels: Vec<LevelCounts>,
    /// Ended requests for answers since its start by how they ended: `done`,
    /// `caller_gone` or a problem's kind.
    pub ended: BTreeMap<String, u64>,
    /// Ended operations since its start by how they ended: `done` or a problem's
    /// kind.
    #[serde(default)]
    pub operations: BTreeMap<String, u64>,
}
