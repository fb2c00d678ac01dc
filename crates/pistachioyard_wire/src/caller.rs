//! What callers exchange with an entry.
//!
//! - `GET /v1/entries?workspace=` gives an [`EntryList`].
//! - `POST /v1/generate` takes a [`GenerateRequest`]. The answer is a stream of
//!   server-sent events, one [`StreamEvent`] each, or a [`Problem`].
//! - `POST /v1/operations/{service}?call=` takes an [`OperationRequest`]'s parts as
//!   headers and body and answers an [`OperationOutcome`] or a [`Problem`].
//! - `GET /v1/operations/{key}` answers the recorded [`OperationOutcome`].

mod entries;
mod event;
mod generate;
mod operation;
mod problem;
mod resume_token;

pub use entries::{EntryAddress, EntryList};
pub use event::{StreamEvent, TokenDigest};
pub use generate::{GenerateCall, GenerateRequest, RequestFault};
pub use operation::{OperationOutcome, OperationRequest};
pub use problem::{Outcome, Problem, ProblemKind};
pub use resume_token::{ResumeToken, ResumeTokenFault};
