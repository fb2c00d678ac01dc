//! Operations on plain services.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{CallName, OperationKey, Outcome, ServiceName, WorkspaceName};

/// A checked operation.
///
/// The workspace comes in the header `x-workspace`, the key in
/// `idempotency-key`; calls that the operators' file marks repeatable need no key.
#[derive(Clone, Debug)]
pub struct OperationRequest {
    /// The workspace that asks.
    pub workspace: WorkspaceName,
    /// The service.
    pub service: ServiceName,
    /// The call of the service.
    pub call: CallName,
    /// Identifies the operation over all its repetitions.
    pub key: Option<OperationKey>,
    /// What the service gets, unchanged.
    pub body: Vec<u8>,
}

/// What became of an operation.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct OperationOutcome {
    /// The operation's key, if it has one.
    pub key: Option<OperationKey>,
    /// What became of it.
    pub outcome: Outcome,
    /// The service's HTTP status, if it answered.
    pub status: Option<u16>,
    /// The service's answer, if it answered.
    pub answer: Option<String>,
    /// Whether this outcome was recorded by an earlier request with the key.
    pub repeated: bool,
}
