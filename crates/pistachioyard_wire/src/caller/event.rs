//! The server-sent events of a generated answer.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{Outcome, Problem, RequestId};

/// One server-sent event of an answer.
///
/// The answer is complete only if the last event is `end` and its count and digest
/// match the received tokens.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum StreamEvent {
    /// The first event: the request was sent to a chain.
    Start {
        /// The id of the request at this entry.
        request: RequestId,
        /// The token with which any entry can resume the stream; see
        /// [`crate::ResumeToken`].
        resume: String,
    },
    /// The next token of the answer.
    Token {
        /// The position of the token in the complete answer, from 0.
        index: u32,
        /// The token id.
        token: u64,
    },
    /// The answer is complete.
    End {
        /// Always [`Outcome::Done`].
        outcome: Outcome,
        /// The number of tokens in the complete answer.
        count: u32,
        /// The digest of all tokens; see [`TokenDigest`].
        digest: String,
    },
    /// The request ended without a complete answer.
    Error(Problem),
}

impl StreamEvent {
    /// Returns the event name for the `event:` line.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Token { .. } => "token",
            Self::End { .. } => "end",
            Self::Error(_) => "error",
        }
    }
}

/// Hashes the tokens of an answer in order (64-bit XXH3 over little-endian tokens).
#[derive(Clone, Default)]
pub struct TokenDigest(Xxh3);

impl TokenDigest {
    /// Adds the next token.
    pub fn push(&mut self, token: u64) {
        self.0.update(&token.to_le_bytes());
    }

    /// Returns the digest of the tokens added so far as 16 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        format!("{:016x}", self.0.digest())
    }
}
