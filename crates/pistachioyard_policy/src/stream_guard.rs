//! Lets through only the next token of the current attempt of a stream.
//!
//! Late, doubled and crossed frames thus cannot reach a caller. See
//! `docs/design/streams.md`.

use pistachioyard_wire::{Attempt, FrameBody, StageFailure, StreamFrame, StreamId, TokenDigest};

/// Why a frame is ignored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// It belongs to another stream.
    OtherStream,
    /// It belongs to an attempt that was replaced.
    OlderAttempt,
    /// Its token was passed on before.
    DoubledIndex,
    /// The answer is whole already.
    AfterEnd,
}

/// Why an attempt cannot be trusted any more.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum GuardFault {
    /// Tokens are missing.
    #[error("token {found} came where token {expected} was due; start a new attempt")]
    Gap {
        /// The next index.
        expected: u32,
        /// The index of the frame.
        found: u32,
    },
    /// A token was sent twice with different values.
    #[error("token {index} came again with another value; start a new attempt")]
    TokenChanged {
        /// The index of the token.
        index: u32,
    },
    /// There are more tokens than the request asks for.
    #[error("token {index} came, but {max_tokens} tokens were asked for; start a new attempt")]
    TooManyTokens {
        /// The index of the token.
        index: u32,
        /// The number asked for.
        max_tokens: u32,
    },
    /// The end came too early or counts otherwise.
    #[error(
        "the end counts {count} tokens, {received} came and {max_tokens} were asked for; \
         start a new attempt"
    )]
    WrongCount {
        /// The number that the frame gives.
        count: u32,
        /// The number of tokens so far.
        received: u32,
        /// The number asked for.
        max_tokens: u32,
    },
    /// The frame is of an attempt that was not asked for here.
    #[error("a frame of attempt {found} came during attempt {current}; another entry took over")]
    NewerAttempt {
        /// The attempt at this entry.
        current: Attempt,
        /// The attempt of the frame.
        found: Attempt,
    },
}

/// What to do with a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GuardVerdict {
    /// The engine has taken the attempt.
    Started,
    /// Pass this token on.
    Pass {
        /// Its place in the whole answer.
        index: u32,
        /// The token.
        token: u64,
    },
    /// The answer is whole.
    Complete {
        /// The number of its tokens.
        count: u32,
        /// The digest over all of them.
        digest: String,
    },
    /// Ignore the frame.
    Drop(DropReason),
    /// Give up this attempt.
    Broken(GuardFault),
    /// The attempt ended without a whole answer.
    Failed(StageFailure),
}

/// The state of one stream as its caller has it.
#[derive(Clone)]
pub struct StreamGuard {
    stream: StreamId,
    attempt: Attempt,
    max_tokens: u32,
    tokens: Vec<u64>,
    tokens_at_attempt: usize,
    digest: TokenDigest,
    ended: bool,
}

impl StreamGuard {
    /// Starts before the first attempt, with the tokens that the caller has.
    pub fn new(stream: StreamId, max_tokens: u32, received: &[u64]) -> Self {
        let mut digest = TokenDigest::default();
        received.iter().for_each(|token| digest.push(*token));
        Self {
            stream,
            attempt: Attempt::default(),
            max_tokens,
            tokens: received.to_vec(),
            tokens_at_attempt: received.len(),
            digest,
            ended: false,
        }
    }

    /// Goes on after an attempt that another entry made.
    #[must_use]
    pub fn after_attempt(mut self, attempt: Attempt) -> Self {
        self.attempt = self.attempt.max(attempt);
        self
    }

    /// Starts the next attempt, whose number it returns; frames of earlier
    /// attempts are dropped from now on.
    pub fn raise_attempt(&mut self) -> Attempt {
        self.attempt = self.attempt.next();
        self.tokens_at_attempt = self.tokens.len();
        self.attempt
    }

    /// Tells whether the caller has every token of the answer.
    pub fn is_whole(&self) -> bool {
        self.count() >= self.max_tokens
    }

    /// Returns the number of tokens that the current attempt has produced.
    pub fn produced_in_attempt(&self) -> usize {
        self.tokens.len() - self.tokens_at_attempt
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns all tokens that the caller has, in order.
    pub fn tokens(&self) -> &[u64] {
        &self.tokens
    }

    /// Returns the digest over all tokens so far, as 16 hexadecimal digits.
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
                GuardVerdict::Drop(DropReason::DoubledIndex)
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
