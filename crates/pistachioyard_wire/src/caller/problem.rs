//! Problem documents for refused and failed requests (`application/problem+json`).

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The guarantee that a caller can rely on; each request ends with exactly one.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request succeeded and its answer is complete.
    Done,
    /// The request was not run on any endpoint.
    NotRun,
    /// A non-idempotent operation was sent, but its result was lost.
    Unknown,
    /// The request ran and ended without a complete answer.
    Failed,
}

/// The stable kinds of problems; each determines the HTTP status.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The request cannot be parsed or is invalid.
    BadRequest,
    /// The body exceeds the maximum size.
    BodyTooLarge,
    /// The request's head exceeds the limit.
    HeadTooLarge,
    /// The configuration contains no such workspace, model, service or call.
    NotConfigured,
    /// The workspace may not use the model or service.
    NotAllowed,
    /// The caller's key is missing or belongs to no workspace.
    UnknownCaller,
    /// The idempotency key is missing or is not a UUIDv7.
    BadKey,
    /// The idempotency key is older than the ledger's retention.
    KeyTooOld,
    /// The idempotency key was already used for a different operation.
    KeyReused,
    /// The entry has no configuration, or the one it has is stale.
    NoConfig,
    /// The entry is shutting down.
    Stopping,
    /// Admission control refused the request, because it cannot be served in time.
    Overloaded,
    /// The workspace has reached its limit of requests in flight.
    WorkspaceLimit,
    /// No live endpoints cover all layers of the model, or none serves the service.
    NoCapacity,
    /// The entry has no memory left for the body of the request.
    NoMemory,
    /// The claim could not be recorded in the ledger, so the operation was not sent.
    LedgerUnavailable,
    /// The ledger page for the key is full.
    LedgerFull,
    /// All endpoints refused the request without running it.
    RefusedByEndpoints,
    /// The request is refused temporarily, because it crashed endpoints.
    Quarantined,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The chain failed and could not be replaced.
    ChainLost,
    /// The operation is in progress elsewhere, or its result was lost.
    ResultLost,
    /// No operation with this key is known.
    NoSuchOperation,
}

impl ProblemKind {
    /// All kinds, for tables and for metrics that are registered at startup.
    pub const ALL: [Self; 23] = [
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::HeadTooLarge,
        Self::NotConfigured,
        Self::NotAllowed,
        Self::UnknownCaller,
        Self::BadKey,
        Self::KeyTooOld,
        Self::KeyReused,
        Self::NoConfig,
        Self::Stopping,
        Self::Overloaded,
        Self::WorkspaceLimit,
        Self::NoCapacity,
        Self::NoMemory,
        Self::LedgerUnavailable,
        Self::LedgerFull,
        Self::RefusedByEndpoints,
        Self::Quarantined,
        Self::DeadlinePassed,
        Self::ChainLost,
        Self::ResultLost,
        Self::NoSuchOperation,
    ];

    /// Returns the HTTP status for the kind.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadKey => 400,
            Self::UnknownCaller => 401,
            Self::NotAllowed => 403,
            Self::NotConfigured | Self::NoSuchOperation => 404,
            Self::KeyReused => 409,
            Self::KeyTooOld => 410,
            Self::BodyTooLarge => 413,
            Self::HeadTooLarge => 431,
            Self::Quarantined => 422,
            Self::Overloaded | Self::WorkspaceLimit => 429,
            Self::ChainLost | Self::ResultLost => 502,
            Self::DeadlinePassed => 504,
            Self::NoConfig
            | Self::Stopping
            | Self::NoCapacity
            | Self::NoMemory
            | Self::LedgerUnavailable
            | Self::LedgerFull
            | Self::RefusedByEndpoints => 503,
        }
    }

    /// Returns the name of the kind in JSON and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::HeadTooLarge => "head_too_large",
            Self::NotConfigured => "not_configured",
            Self::NotAllowed => "not_allowed",
            Self::UnknownCaller => "unknown_caller",
            Self::BadKey => "bad_key",
            Self::KeyTooOld => "key_too_old",
            Self::KeyReused => "key_reused",
            Self::NoConfig => "no_config",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded",
            Self::WorkspaceLimit => "workspace_limit",
            Self::NoCapacity => "no_capacity",
            Self::NoMemory => "no_memory",
            Self::LedgerUnavailable => "ledger_unavailable",
            Self::LedgerFull => "ledger_full",
            Self::RefusedByEndpoints => "refused_by_endpoints",
            Self::Quarantined => "quarantined",
            Self::DeadlinePassed => "deadline_passed",
            Self::ChainLost => "chain_lost",
            Self::ResultLost => "result_lost",
            Self::NoSuchOperation => "no_such_operation",
        }
    }
}

/// A problem document that describes a refused or failed request.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, thiserror::Error)]
#[error("{title}: {detail}")]
pub struct Problem {
    /// The URI of the kind: `urn:pistachioyard:` followed by its name.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// The human-readable name of the kind.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened to this request and how to resolve it.
    pub detail: String,
    /// The guarantee that the caller can rely on.
    pub outcome: Outcome,
    /// The stable kind of the problem.
    pub kind: ProblemKind,
    /// How long to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Creates a problem; `detail` names the bad value and says how to resolve it.
    pub fn new(kind: ProblemKind, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            type_uri: format!("urn:pistachioyard:{}", kind.as_str()),
            title: kind.as_str().replace('_', " "),
            status: kind.status(),
            detail: detail.into(),
            outcome,
            kind,
            retry_after_ms: None,
        }
    }

    /// Sets how long the caller should wait before a retry, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
