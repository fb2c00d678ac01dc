//! The protocol between callers and entries.
//!
//! - `GET /v1/entries?workspace=` returns an [`EntryList`].
//! - `POST /v1/generate` takes a [`GenerateRequest`]. The response is a stream of
//!   server-sent events, each a [`StreamEvent`], or a [`Problem`].
//! - `POST /v1/operations/{service}?call=` takes the fields of an
//!   [`OperationRequest`] in its path, query, headers and body, and returns an
//!   [`OperationOutcome`] or a [`Problem`].
//! - `GET /v1/operations/{key}` returns the recorded [`OperationOutcome`].

mod entries;
mod event;
mod generate;
mod operation;
mod problem;
mod resume_token;

pub use entries::{EntryAddress, EntryList};
pub use event::{StreamEvent, TokenDigest};
pub use generate::{GenerateRequest, GenerateRequestError, ValidatedGenerateRequest};
pub use operation::{OperationOutcome, OperationRequest};
pub use problem::{Outcome, Problem, ProblemKind};
pub use resume_token::{ResumeToken, ResumeTokenError};
