//! The events of a generated answer.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{Outcome, Problem, RequestId};

/// One server-sent event of an answer.
///
/// The answer is whole only if the last event is `end` and its count and digest
/// match the tokens received.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum StreamEvent {
    /// The first event: the request has been sent to a chain.
    Start {
        /// The request at this entry.
        request: RequestId,
        /// Lets any entry go on with the stream; see [`crate::ResumeToken`].
        resume: String,
    },
    /// The token at the next index.
    Token {
        /// Its place in the whole answer, from 0.
        index: u32,
        /// The token.
        token: u64,
    },
    /// The answer is whole.
    End {
        /// Always [`Outcome::Done`].
        outcome: Outcome,
        /// The number of tokens of the whole answer.
        count: u32,
        /// The digest over all its tokens; see [`TokenDigest`].
        digest: String,
    },
    /// The request ended without a whole answer.
    Error(Problem),
}

impl StreamEvent {
    /// Returns the name that stands in the `event:` line.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Start { .. } => "start",
            Self::Token { .. } => "token",
            Self::End { .. } => "end",
            Self::Error(_) => "error",
        }
    }
}

/// Digests the tokens of an answer in order (XXH3, 64 bits, little endian).
#[derive(Clone, Default)]
pub struct TokenDigest(Xxh3);

impl TokenDigest {
    /// Adds the next token.
    pub fn push(&mut self, token: u64) {
        self.0.update(&token.to_le_bytes());
    }

    /// Returns the digest so far, as 16 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        format!("{:016x}", self.0.digest())
    }
}
