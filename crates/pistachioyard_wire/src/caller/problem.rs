//! Refusals and failures as callers see them (`application/problem+json`).

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a caller may rely on; exactly one is told for each request.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The answer is whole.
    Done,
    /// The request did not start anywhere.
    NotRun,
    /// A non-idempotent operation was sent and its result was lost.
    Unknown,
    /// The request ran and ended without a whole answer.
    Failed,
}

/// The stable kinds of problems, each with its HTTP status and outcome.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ProblemKind {
    /// The request cannot be read or breaks a rule of its form.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The configuration names no such workspace, model, service or call.
    NotConfigured,
    /// The workspace may not use the model or service.
    NotAllowed,
    /// The caller's key is missing or no workspace holds it.
    UnknownCaller,
    /// The operation key is missing or not a UUIDv7.
    BadKey,
    /// The operation key is older than the ledger's retention.
    KeyTooOld,
    /// The operation key was used for another operation.
    KeyReused,
    /// The entry has no configuration that it may rely on.
    NoConfig,
    /// The entry is stopping.
    Stopping,
    /// The request cannot be served in time.
    Overloaded,
    /// The workspace is at its limit.
    WorkspaceLimit,
    /// No live endpoints cover the model, or none answers for the service.
    NoCapacity,
    /// The claim could not be recorded, so the operation was not sent.
    LedgerUnavailable,
    /// The key's place in the ledger is full.
    LedgerFull,
    /// Every endpoint refused the request without running it.
    RefusedByEndpoints,
    /// The request crashed two endpoints and is refused for a while.
    Quarantined,
    /// The deadline passed.
    DeadlinePassed,
    /// The chain was lost and could not be replaced.
    ChainLost,
    /// The operation is in progress elsewhere, or its result was lost.
    ResultLost,
    /// No operation with the key is known.
    NoSuchOperation,
}

impl ProblemKind {
    /// All kinds, for tables and for metrics that exist from the start.
    pub const ALL: [Self; 21] = [
        Self::BadRequest,
        Self::BodyTooLarge,
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
        Self::LedgerUnavailable,
        Self::LedgerFull,
        Self::RefusedByEndpoints,
        Self::Quarantined,
        Self::DeadlinePassed,
        Self::ChainLost,
        Self::ResultLost,
        Self::NoSuchOperation,
    ];

    /// Returns the HTTP status that goes with the kind.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadKey => 400,
            Self::UnknownCaller => 401,
            Self::NotAllowed => 403,
            Self::NotConfigured | Self::NoSuchOperation => 404,
            Self::KeyReused => 409,
            Self::KeyTooOld => 410,
            Self::BodyTooLarge => 413,
            Self::Quarantined => 422,
            Self::Overloaded | Self::WorkspaceLimit => 429,
            Self::ChainLost | Self::ResultLost => 502,
            Self::DeadlinePassed => 504,
            Self::NoConfig
            | Self::Stopping
            | Self::NoCapacity
            | Self::LedgerUnavailable
            | Self::LedgerFull
            | Self::RefusedByEndpoints => 503,
        }
    }

    /// Returns the kind as it is written in JSON and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
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

/// A refusal or failure.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, thiserror::Error)]
#[error("{title}: {detail}")]
pub struct Problem {
    /// A URI of the kind: `urn:pistachioyard:` and the kind.
    #[serde(rename = "type")]
    pub type_uri: String,
    /// The kind in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What happened to this request, and the way out.
    pub detail: String,
    /// What the caller may rely on.
    pub outcome: Outcome,
    /// The stable kind.
    pub kind: ProblemKind,
    /// When asking again helps, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Makes a problem of a kind; `detail` names the bad value and the way out.
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

    /// Adds when asking again helps, in milliseconds from now.
    #[must_use]
    pub fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
