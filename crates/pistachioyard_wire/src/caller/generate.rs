//! A request for a generated answer.

use std::sync::Arc;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, ModelName, Priority, RequestDigest, ResumeToken, ResumeTokenFault, WorkspaceName,
};

/// The most tokens that one request may ask for.
const MAX_TOKENS: u32 = 32_768;
/// The longest prompt, in bytes.
const MAX_PROMPT_BYTES: usize = 1_000_000;
/// The deadline of a request that names none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 120_000;
/// The longest deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// A request as the caller writes it.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    /// The workspace that asks.
    pub workspace: WorkspaceName,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to run with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: String,
    /// The number of tokens to generate.
    pub max_tokens: u32,
    /// The priority; the workspace's own where none is named.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<Priority>,
    /// How long the caller waits for the whole answer, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// The resume token of an answer that broke off.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
    /// The tokens of that answer that the caller has, in order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<u64>,
}

/// Why a request cannot be taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum RequestFault {
    /// There is nothing to generate from.
    #[error("prompt is empty; give some text")]
    EmptyPrompt,
    /// The prompt is longer than allowed.
    #[error("prompt has {len} bytes; {MAX_PROMPT_BYTES} are allowed")]
    PromptTooLong {
        /// Its length in bytes.
        len: usize,
    },
    /// The number of tokens is out of range.
    #[error("max_tokens is {given}; 1 to {MAX_TOKENS} are allowed")]
    TokenCount {
        /// The number as given.
        given: u32,
    },
    /// The deadline is out of range.
    #[error("deadline_ms is {given}; 1 to {MAX_DEADLINE_MS} are allowed")]
    Deadline {
        /// The deadline as given.
        given: u64,
    },
    /// Tokens were given without the token of the answer they are from.
    #[error("received holds {len} tokens but resume is missing; send both or neither")]
    ReceivedWithoutResume {
        /// The number of tokens given.
        len: usize,
    },
    /// More tokens were given than the answer has.
    #[error("received holds {len} tokens, more than max_tokens {max_tokens}")]
    ReceivedTooLong {
        /// The number of tokens given.
        len: usize,
        /// The number asked for.
        max_tokens: u32,
    },
    /// The resume token cannot be read.
    #[error(transparent)]
    Resume(#[from] ResumeTokenFault),
    /// The resume token is from another request.
    #[error("the resume token belongs to another request; send the same body again with it")]
    ResumeOfAnother,
}

/// A checked request.
#[derive(Clone, Debug)]
pub struct GenerateCall {
    /// The workspace that asks.
    pub workspace: WorkspaceName,
    /// The model to run.
    pub model: ModelName,
    /// The adapter to run with.
    pub adapter: Option<AdapterName>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The number of tokens of the whole answer.
    pub max_tokens: u32,
    /// The priority that the caller named.
    pub priority: Option<Priority>,
    /// How long the caller waits for the whole answer.
    pub deadline: Duration,
    /// Where to go on, if the answer broke off before.
    pub resume: Option<ResumeToken>,
    /// The tokens that the caller has.
    pub received: Vec<u64>,
    /// Identifies what is asked, whoever asks again.
    pub digest: RequestDigest,
}

impl TryFrom<GenerateRequest> for GenerateCall {
    type Error = RequestFault;

    fn try_from(raw: GenerateRequest) -> Result<Self, RequestFault> {
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
            return Err(RequestFault::ResumeOfAnother);
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

fn check_bounds(raw: &GenerateRequest) -> Result<(), RequestFault> {
    let len = raw.received.len();
    let max_tokens = raw.max_tokens;
    if raw.prompt.is_empty() {
        return Err(RequestFault::EmptyPrompt);
    }
    if raw.prompt.len() > MAX_PROMPT_BYTES {
        return Err(RequestFault::PromptTooLong {
            len: raw.prompt.len(),
        });
    }
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(RequestFault::TokenCount { given: max_tokens });
    }
    if let Some(given) = raw.deadline_ms
        && !(1..=MAX_DEADLINE_MS).contains(&given)
    {
        return Err(RequestFault::Deadline { given });
    }
    if len > 0 && raw.resume.is_none() {
        return Err(RequestFault::ReceivedWithoutResume { len });
    }
    if len > max_tokens as usize {
        return Err(RequestFault::ReceivedTooLong { len, max_tokens });
    }
    Ok(())
}
