//! Injected faults and run records, which tests access through `/control`.

use std::collections::BTreeMap;

use pistachioyard_wire::{Attempt, LayerRange, StreamId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The text in a prompt that ends the process of every engine that runs a step of the prompt.
const CRASH_MARKER: &str = "CRASH-ENGINE";

/// Configures the injected faults of an engine; each `PUT` replaces all of them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// An additional text in a prompt that ends the process; `CRASH-ENGINE` always does.
    pub crash_on: Option<String>,
    /// The factor by which every batch takes longer.
    pub slow_factor: f64,
    /// Whether outgoing links stay open without sending anything.
    pub stall_links: bool,
    /// Whether new streams are refused, as after an order to drain.
    pub draining: bool,
    /// Whether the first stage drops the token frames to its callers.
    pub drop_frames: bool,
    /// Whether new cache events are left out, so that their sequence numbers have gaps.
    pub cache_gaps: bool,
    /// Link times that replace the configured ones, by data centre, in milliseconds.
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
    /// Returns whether a prompt contains a text that ends the process.
    pub(crate) fn crashes(&self, prompt: &str) -> bool {
        let marked = self.crash_on.as_deref().is_some_and(|m| prompt.contains(m));
        marked || prompt.contains(CRASH_MARKER)
    }
}

/// Records one step that an engine ran.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct RunRecord {
    /// The stream.
    pub stream: StreamId,
    /// The attempt.
    pub attempt: Attempt,
    /// The index of the token that the step contributes to.
    pub index: u32,
    /// The layers that the engine ran.
    pub layers: LayerRange,
}
