//! The record of one request, as its caller observed it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointId, Outcome, Priority, Problem, ProblemKind};

/// Describes how a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RecordEnd {
    /// The answer is complete and every token is correct.
    Done,
    /// The request was refused and did not run.
    NotRun(ProblemKind),
    /// The request ended with a problem and may have run.
    Failed(ProblemKind),
    /// The answer was interrupted and no entry resumed it.
    Broken,
    /// A token, count, digest or event of the answer was wrong.
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

/// Records one request from its sending to its end.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) priority: Option<Priority>,
    /// The entry that the request was first sent to.
    pub(super) entry: SocketAddr,
    pub(super) sent_at: Instant,
    /// When each token was received, over all entries.
    pub(super) token_times: Vec<Instant>,
    /// The stages of the chain that the request first ran on.
    pub(super) stages: Vec<EndpointId>,
    /// Whether the answer was interrupted and continued at another entry.
    pub(super) was_resumed: bool,
    pub(super) end: RecordEnd,
    pub(super) ended_at: Instant,
    /// The retry delay that came with the last problem.
    pub(super) retry_after: Option<Duration>,
}

impl Record {
    /// Returns the time to the first token.
    pub(super) fn time_to_first_token(&self) -> Option<Duration> {
        self.token_times.first().map(|at| *at - self.sent_at)
    }

    /// Returns whether the request was in progress at an instant.
    pub(super) fn is_in_progress_at(&self, at: Instant) -> bool {
        self.sent_at < at && at < self.ended_at
    }

    /// Returns the time from a fault to the token that ended the longest gap between tokens
    /// that began before `settled_at`, or `None` if there is no such token.
    ///
    /// Taking the longest gap skips tokens that were already in transit when the fault
    /// occurred.
    pub(super) fn recovery_time(&self, fault_at: Instant, settled_at: Instant) -> Option<Duration> {
        let before = std::iter::once(&self.sent_at).chain(&self.token_times);
        before
            .zip(&self.token_times)
            .filter(|(from, to)| **to > fault_at && **from < settled_at)
            .max_by_key(|(from, to)| **to - **from)
            .map(|(_, to)| *to - fault_at)
    }
}
