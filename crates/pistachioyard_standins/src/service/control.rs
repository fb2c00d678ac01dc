//! Injected faults and effect records, which tests access through `/control`.

use pistachioyard_wire::CallName;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Configures the injected faults; each `PUT` replaces all of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// The time from the effect of a call to its answer, in milliseconds.
    pub latency_ms: u64,
    /// How many of the next calls take effect but have their connection closed
    /// without an answer.
    pub drop_answer: u32,
    /// How many of the next calls are refused with 503 and the header
    /// `x-not-run: true` and have no effect.
    pub refuse: u32,
    /// Whether the report says that the endpoint is draining; calls still run.
    pub draining: bool,
}

/// Holds the answer to a call.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EffectAnswer {
    /// How often the call has taken effect with this key, including this time.
    pub effect: u64,
    /// The call.
    pub call: CallName,
}

/// Records the effects of one call with one idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct EffectRecord {
    /// The call.
    pub call: CallName,
    /// The value of the header `idempotency-key`, if it was sent.
    pub key: Option<String>,
    /// How often the call has taken effect.
    pub count: u64,
    /// The body of the newest call, as text.
    pub body: String,
}
