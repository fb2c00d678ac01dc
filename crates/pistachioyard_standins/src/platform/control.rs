//! Injected faults and call counts, which tests access through `/control`.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Configures the injected faults; each `PUT` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether all calls except control calls are answered with 503, including waiting watches.
    pub down: bool,
    /// The delay before each call is processed, in milliseconds.
    pub slow_ms: u64,
    /// The number of upcoming writes that take effect but whose connection is closed
    /// without an answer; conflicts do not count.
    pub lose_answers: u32,
    /// The delay before a write takes effect, in milliseconds; a caller that
    /// disconnects during the delay does not cancel the write.
    pub delay_writes_ms: u64,
    /// The age of the host list that is returned, in milliseconds.
    pub host_lag_ms: u64,
}

/// Counts the calls since the start, including refused ones; a waiting watch is one call.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct CallCounts {
    /// The reads of a single object.
    pub reads: u64,
    /// The writes of a single object.
    pub writes: u64,
    /// The writes by parent key (the object's key without its last segment), so that a test
    /// can wait for a particular write while controllers write other objects.
    pub writes_under: BTreeMap<String, u64>,
    /// The reads of all objects under a prefix.
    pub lists: u64,
    /// The watch calls.
    pub watches: u64,
    /// The reads of the host list.
    pub hosts: u64,
    /// The calls of any kind that were answered with 503.
    pub refused: u64,
    /// The writes whose condition did not hold.
    pub conflicts: u64,
}
