//! What tests set and read on the platform stand-in.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The faults in force; each `PUT` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call but control calls is answered with 503, waiting watches included.
    pub down: bool,
    /// The delay of every call before it is looked at, in milliseconds.
    pub slow_ms: u64,
    /// The number of next writes that take effect but whose connection is closed
    /// without an answer; conflicts do not count.
    pub lose_answers: u32,
    /// The delay of writes before they take effect, in milliseconds; a caller that
    /// goes away meanwhile does not stop them.
    pub delay_writes_ms: u64,
    /// The age of the host list that is shown, in milliseconds.
    pub host_lag_ms: u64,
}

/// Calls since the start, refused ones included; a waiting watch is one call.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes of one object.
    pub writes: u64,
    /// Those writes by the object's key without its last part, so that a test can wait
    /// for one of them while controllers write other objects.
    pub writes_under: BTreeMap<String, u64>,
    /// Reads of all objects under a prefix.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Calls of any kind that were answered with 503.
    pub refused: u64,
    /// Writes whose condition did not hold.
    pub conflicts: u64,
}
