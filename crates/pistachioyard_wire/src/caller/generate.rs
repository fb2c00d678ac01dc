//! Requests for generated answers, raw and validated.

use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, ModelName, Priority, RequestDigest, ResumeToken, ResumeTokenError, WorkspaceName,
};

/// The maximum number of tokens per request.
const MAX_TOKENS: u32 = 32_768;
/// The maximum length of a prompt, in bytes.
const MAX_PROMPT_BYTES: usize = 1_000_000;
/// The deadline of a request that specifies none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 120_000;
/// The maximum deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A request as the caller sends it, not yet validated.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    /// The workspace that sends the request.
    pub workspace: WorkspaceName,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to apply to the model, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens in the complete answer.
    pub max_tokens: u32,
    /// The priority; defaults to that of the workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// How long the caller waits for the complete answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The resume token of an interrupted answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
    /// The tokens of that answer that the caller has already received, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<u64>,
}

/// Reports why a request is invalid.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GenerateRequestError {
    /// The prompt is empty.
    #[error("prompt is empty; expected non-empty text")]
    EmptyPrompt,
    /// The prompt exceeds the maximum length.
    #[error("prompt has {len} bytes; at most {MAX_PROMPT_BYTES} are allowed")]
    PromptTooLong {
        /// The length of the prompt, in bytes.
        len: usize,
    },
    /// `max_tokens` is out of range.
    #[error("max_tokens is {given}; expected 1 to {MAX_TOKENS}")]
    MaxTokensOutOfRange {
        /// The value in the request.
        given: u32,
    },
    /// `deadline_ms` is out of range.
    #[error("deadline_ms is {given}; expected 1 to {MAX_DEADLINE_MS}")]
    DeadlineOutOfRange {
        /// The value in the request, in milliseconds.
        given: u64,
    },
    /// Received tokens were sent without the resume token of their answer.
    #[error("received contains {len} tokens but resume is missing; send both or neither")]
    ReceivedWithoutResume {
        /// The number of tokens in `received`.
        len: usize,
    },
    /// More received tokens were sent than the answer can have.
    #[error("received contains {len} tokens; at most max_tokens ({max_tokens}) are allowed")]
    ReceivedTooLong {
        /// The number of tokens in `received`.
        len: usize,
        /// The value of `max_tokens` in the request.
        max_tokens: u32,
    },
    /// The resume token cannot be decoded.
    #[error(transparent)]
    Resume(#[from] ResumeTokenError),
    /// The resume token was issued for a request with a different digest.
    #[error(
        "the resume token belongs to another request; send it with the body of the original request"
    )]
    ResumeTokenMismatch,
}

/// A validated request for a generated answer.
#[derive(Clone, Debug)]
pub struct ValidatedGenerateRequest {
    /// The workspace that sends the request.
    pub workspace: WorkspaceName,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to apply to the model, if any.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The number of tokens in the complete answer.
    pub max_tokens: u32,
    /// The priority in the request, if any.
    pub priority: Option<Priority>,
    /// How long the caller waits for the complete answer.
    pub deadline: Duration,
    /// The resume token, if the request resumes an interrupted answer.
    pub resume: Option<ResumeToken>,
    /// The tokens that the caller has already received.
    pub received: Vec<u64>,
    /// The digest that identifies repetitions of the same request, from any caller.
    pub digest: RequestDigest,
}

impl TryFrom<GenerateRequest> for ValidatedGenerateRequest {
    type Error = GenerateRequestError;

    fn try_from(raw: GenerateRequest) -> Result<Self, GenerateRequestError> {
        check_bounds(&raw)?;
        let digest = RequestDigest::of(&[
            raw.workspace.as_str().as_bytes(),
            raw.model.as_str().as_bytes(),
            raw.adapter.as_ref().map_or(&[], |a| a.as_str().as_bytes()),
            raw.prompt.as_bytes(),
            &raw.max_tokens.to_le_bytes(),
        ]);
        let resume = raw
            .resume
            .as_deref()
            .map(ResumeToken::try_from)
            .transpose()?;
        if resume.as_ref().is_some_and(|token| token.digest != digest) {
            return Err(GenerateRequestError::ResumeTokenMismatch);
        }
        Ok(Self {
            workspace: raw.workspace,
            model: raw.model,
            adapter: raw.adapter,
            prompt: raw.prompt.into(),
            max_tokens: raw.max_tokens,
            priority: raw.priority,
            deadline: Duration::from_millis(raw.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)),
            resume,
            received: raw.received,
            digest,
        })
    }
}

fn check_bounds(raw: &GenerateRequest) -> Result<(), GenerateRequestError> {
    let len = raw.received.len();
    let max_tokens = raw.max_tokens;
    if raw.prompt.is_empty() {
        return Err(GenerateRequestError::EmptyPrompt);
    }
    if raw.prompt.len() > MAX_PROMPT_BYTES {
        return Err(GenerateRequestError::PromptTooLong {
            len: raw.prompt.len(),
        });
    }
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(GenerateRequestError::MaxTokensOutOfRange { given: max_tokens });
    }
    if let Some(given) = raw.deadline_ms
        && !(1..=MAX_DEADLINE_MS).contains(&given)
    {
        return Err(GenerateRequestError::DeadlineOutOfRange { given });
    }
    if len > 0 && raw.resume.is_none() {
        return Err(GenerateRequestError::ReceivedWithoutResume { len });
    }
    if len > max_tokens as usize {
        return Err(GenerateRequestError::ReceivedTooLong { len, max_tokens });
    }
    Ok(())
}
