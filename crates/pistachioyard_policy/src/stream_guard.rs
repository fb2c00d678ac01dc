//! Passes on only the next token of a stream's current attempt.
//!
//! Late frames, duplicates and frames of other streams therefore cannot reach a caller. See
//! `docs/design/streams.md`.

use pistachioyard_wire::{Attempt, FrameBody, StageFailure, StreamFrame, StreamId, TokenDigest};

/// Says why a frame is dropped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// It belongs to another stream.
    OtherStream,
    /// It belongs to an attempt that has been replaced.
    OlderAttempt,
    /// Its token was already passed on.
    DuplicateIndex,
    /// The answer is already complete.
    AfterEnd,
}

/// Says why an attempt can no longer be trusted.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GuardFault {
    /// Tokens are missing.
    #[error("received token {found}, expected token {expected}; start a new attempt")]
    Gap {
        /// The index of the token that is due.
        expected: u32,
        /// The index in the frame.
        found: u32,
    },
    /// A token was sent again with a different value.
    #[error("token {index} was sent again with a different value; start a new attempt")]
    TokenChanged {
        /// The index of the token.
        index: u32,
    },
    /// More tokens came than the request asks for.
    #[error(
        "received token {index}, but only {max_tokens} tokens were requested; start a new attempt"
    )]
    TooManyTokens {
        /// The index of the token.
        index: u32,
        /// The number of tokens requested.
        max_tokens: u32,
    },
    /// The end frame came too early or gives a wrong number of tokens.
    #[error(
        "the end frame counts {count} tokens, but {received} were received and {max_tokens} \
         requested; start a new attempt"
    )]
    WrongCount {
        /// The number of tokens that the end frame gives.
        count: u32,
        /// The number of tokens received so far.
        received: u32,
        /// The number of tokens requested.
        max_tokens: u32,
    },
    /// The frame belongs to an attempt that this entry did not start.
    #[error(
        "received a frame of attempt {found} during attempt {current}; another entry took over"
    )]
    NewerAttempt {
        /// The current attempt at this entry.
        current: Attempt,
        /// The attempt of the frame.
        found: Attempt,
    },
}

/// Says what to do with a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GuardVerdict {
    /// The engine has accepted the attempt.
    Started,
    /// Pass this token on.
    Pass {
        /// Its index in the whole answer.
        index: u32,
        /// The token.
        token: u64,
    },
    /// The answer is complete.
    Complete {
        /// The number of its tokens.
        count: u32,
        /// The digest of all its tokens.
        digest: String,
    },
    /// Drop the frame.
    Drop(DropReason),
    /// Give up this attempt.
    Broken(GuardFault),
    /// The attempt failed before the answer was complete.
    Failed(StageFailure),
}

/// Holds the state of one stream as seen by its caller.
#[derive(Clone)]
pub struct StreamGuard {
    stream: StreamId,
    attempt: Attempt,
    max_tokens: u32,
    tokens: Vec<u64>,
    tokens_before_attempt: usize,
    digest: TokenDigest,
    ended: bool,
}

impl StreamGuard {
    /// Creates a guard before the first attempt, with the tokens that the caller already has.
    pub fn new(stream: StreamId, max_tokens: u32, received: &[u64]) -> Self {
        let mut digest = TokenDigest::default();
        received.iter().for_each(|token| digest.push(*token));
        Self {
            stream,
            attempt: Attempt::default(),
            max_tokens,
            tokens: received.to_vec(),
            tokens_before_attempt: received.len(),
            digest,
            ended: false,
        }
    }

    /// Continues after an attempt that another entry made.
    #[must_use]
    pub fn after_attempt(mut self, attempt: Attempt) -> Self {
        self.attempt = self.attempt.max(attempt);
        self
    }

    /// Starts the next attempt and returns its number; frames of earlier attempts are dropped
    /// from now on.
    pub fn start_attempt(&mut self) -> Attempt {
        self.attempt = self.attempt.next();
        self.tokens_before_attempt = self.tokens.len();
        self.attempt
    }

    /// Returns whether the caller has every token of the answer.
    pub fn is_complete(&self) -> bool {
        self.count() >= self.max_tokens
    }

    /// Returns the number of tokens that the current attempt has produced.
    pub fn produced_in_attempt(&self) -> usize {
        self.tokens.len() - self.tokens_before_attempt
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns all tokens that the caller has, in order.
    pub fn tokens(&self) -> &[u64] {
        &self.tokens
    }

    /// Returns the digest of all tokens so far, as 16 hexadecimal digits.
    pub fn digest(&self) -> String {
        self.digest.to_hex()
    }

    /// Decides what to do with a frame.
    pub fn accept(&mut self, frame: &StreamFrame) -> GuardVerdict {
        if frame.stream != self.stream {
            return GuardVerdict::Drop(DropReason::OtherStream);
        }
        if frame.attempt < self.attempt {
            return GuardVerdict::Drop(DropReason::OlderAttempt);
        }
        if self.ended {
            return GuardVerdict::Drop(DropReason::AfterEnd);
        }
        if frame.attempt > self.attempt {
            return GuardVerdict::Broken(GuardFault::NewerAttempt {
                current: self.attempt,
                found: frame.attempt,
            });
        }
        match &frame.body {
            FrameBody::Started => GuardVerdict::Started,
            FrameBody::Token { index, token } => self.accept_token(*index, *token),
            FrameBody::End { count } => self.accept_end(*count),
            FrameBody::Failed(failure) => GuardVerdict::Failed(failure.clone()),
        }
    }

    fn accept_token(&mut self, index: u32, token: u64) -> GuardVerdict {
        if let Some(passed) = self.tokens.get(index as usize) {
            return if *passed == token {
                GuardVerdict::Drop(DropReason::DuplicateIndex)
            } else {
                GuardVerdict::Broken(GuardFault::TokenChanged { index })
            };
        }
        let expected = self.count();
        if index >= self.max_tokens {
            let max_tokens = self.max_tokens;
            return GuardVerdict::Broken(GuardFault::TooManyTokens { index, max_tokens });
        }
        if index != expected {
            let found = index;
            return GuardVerdict::Broken(GuardFault::Gap { expected, found });
        }
        self.tokens.push(token);
        self.digest.push(token);
        GuardVerdict::Pass { index, token }
    }

    fn accept_end(&mut self, count: u32) -> GuardVerdict {
        let received = self.count();
        if count != received || count != self.max_tokens {
            return GuardVerdict::Broken(GuardFault::WrongCount {
                count,
                received,
                max_tokens: self.max_tokens,
            });
        }
        self.ended = true;
        GuardVerdict::Complete {
            count,
            digest: self.digest(),
        }
    }

    fn count(&self) -> u32 {
        u32::try_from(self.tokens.len()).unwrap_or(u32::MAX)
    }
}
