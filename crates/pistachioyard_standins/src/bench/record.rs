//! What a caller saw of one request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointId, Outcome, Priority, Problem, ProblemKind};

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RecordEnd {
    /// The answer is whole and every token is right.
    Done,
    /// It was refused and did not run.
    NotRun(ProblemKind),
    /// It ran and ended badly.
    Failed(ProblemKind),
    /// No entry went on with it.
    Broken,
    /// A token, a count, a digest or an event was wrong.
    Wrong,
}

impl From<&Problem> for RecordEnd {
    fn from(problem: &Problem) -> Self {
        match problem.outcome {
            Outcome::NotRun => Self::NotRun(problem.kind),
            Outcome::Done | Outcome::Failed | Outcome::Unknown => Self::Failed(problem.kind),
        }
    }
}

/// One request, from its sending to its end.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) priority: Option<Priority>,
    /// The entry that it was sent to first.
    pub(super) entry: SocketAddr,
    pub(super) sent_at: Instant,
    /// When each token came, over all entries.
    pub(super) token_times: Vec<Instant>,
    /// The stages that it was first sent to.
    pub(super) stages: Vec<EndpointId>,
    /// Whether it went on at another entry.
    pub(super) has_moved: bool,
    pub(super) end: RecordEnd,
    pub(super) ended_at: Instant,
    /// When the refused caller was told to come back.
    pub(super) retry_after: Option<Duration>,
}

impl Record {
    /// Returns the time to the first token.
    pub(super) fn first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|at| *at - self.sent_at)
    }

    /// Tells whether the request was in progress at an instant.
    pub(super) fn spans(&self, at: Instant) -> bool {
        self.sent_at < at && at < self.ended_at
    }

    /// Returns the time from a fault to the token that ended the longest silence
    /// which began before `settled_at`, none where there was no such token.
    ///
    /// Tokens that were on their way when the fault came do not count.
    pub(super) fn recovery(&self, fault_at: Instant, settled_at: Instant) -> Option<Duration> {
        let before = std::iter::once(&self.sent_at).chain(&self.token_times);
        before
            .zip(&self.token_times)
            .filter(|(from, to)| **to > fault_at && **from < settled_at)
            .max_by_key(|(from, to)| **to - **from)
            .map(|(_, to)| *to - fault_at)
    }
}
