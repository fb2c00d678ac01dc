//! Faults and records that tests reach through `/control`.

use std::collections::BTreeMap;

use pistachioyard_wire::{Attempt, LayerRange, StreamId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A prompt with this text ends every engine that runs a step of it.
const CRASH_MARKER: &str = "CRASH-ENGINE";

/// Faults that a test sets; each `PUT` replaces all of them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// A prompt with this text ends the process; the default marker always does.
    pub crash_on: Option<String>,
    /// Multiplies the time of every batch.
    pub slow_factor: f64,
    /// Keeps outgoing links open without sending on them.
    pub stall_links: bool,
    /// Turns new streams away, as an order to drain does.
    pub draining: bool,
    /// Drops the token frames to callers of the first stage.
    pub drop_frames: bool,
    /// Leaves new cache events out, so that their numbers jump.
    pub cache_gaps: bool,
    /// Replaces link times to data centres, in milliseconds.
    pub link_ms: BTreeMap<String, f64>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            crash_on: None,
            slow_factor: 1.0,
            stall_links: false,
            draining: false,
            drop_frames: false,
            cache_gaps: false,
            link_ms: BTreeMap::new(),
        }
    }
}

impl EngineFaults {
    /// Tells whether a prompt ends the process.
    pub(crate) fn crashes(&self, prompt: &str) -> bool {
        let marked = self.crash_on.as_deref().is_some_and(|m| prompt.contains(m));
        marked || prompt.contains(CRASH_MARKER)
    }
}

/// One step that an engine ran.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct RunRecord {
    /// The stream.
    pub stream: StreamId,
    /// The attempt.
    pub attempt: Attempt,
    /// The index of the token that the step led to.
    pub index: u32,
    /// The layers that were run.
    pub layers: LayerRange,
}
