//! Operations on plain services and their outcomes.

use bytes::Bytes;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{CallName, OperationKey, Outcome, ServiceName, WorkspaceName};

/// A validated operation request.
///
/// The header `x-workspace` carries the workspace and `idempotency-key` the key.
/// Calls that the configuration marks as repeatable need no key.
#[derive(Clone, Debug)]
pub struct OperationRequest {
    /// The workspace that sends the request.
    pub workspace: WorkspaceName,
    /// The target service.
    pub service: ServiceName,
    /// The call of the service to make.
    pub call: CallName,
    /// The idempotency key, which identifies the operation across all repetitions.
    pub key: Option<OperationKey>,
    /// The body, which is passed to the service unchanged.
    pub body: Bytes,
}

/// The outcome of an operation.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct OperationOutcome {
    /// The idempotency key of the operation, if it has one.
    pub key: Option<OperationKey>,
    /// The guarantee that the caller can rely on.
    pub outcome: Outcome,
    /// The HTTP status from the service, if it responded.
    pub status: Option<u16>,
    /// The response body from the service, if it responded.
    pub answer: Option<String>,
    /// Whether an earlier request with the same key recorded this outcome.
    pub repeated: bool,
}
