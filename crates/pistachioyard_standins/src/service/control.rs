//! What tests set and read on the service stand-in.

use pistachioyard_wire::CallName;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The faults in force; each `PUT` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The time from a call's effect to its answer, in milliseconds.
    pub latency_ms: u64,
    /// The number of next calls that take effect but whose connection is closed
    /// without an answer.
    pub drop_answer: u32,
    /// The number of next calls that are answered with 503 and the header
    /// `x-not-run: true` and have no effect.
    pub refuse: u32,
    /// Whether the report says that it is draining; calls are still run.
    pub draining: bool,
}

/// What a call answers.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EffectAnswer {
    /// How often this call has taken effect with this key, this time included.
    pub effect: u64,
    /// The call.
    pub call: CallName,
}

/// The effects of one call with one key.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EffectRecord {
    /// The call.
    pub call: CallName,
    /// The header `idempotency-key`, if it was sent.
    pub key: Option<String>,
    /// How often it took effect.
    pub count: u64,
    /// The body of the newest, as text.
    pub body: String,
}
