//! Repairs the path of a stream, or resumes the stream on another path.

use std::sync::atomic::{AtomicBool, Ordering};

use http::StatusCode;

use super::path_run::{OpenResult, RepairResult};
use super::{MAX_REFUSALS, RETRY_AFTER_MS, Relay};
use crate::prelude::*;
use crate::router::answer::StreamAborted;
use crate::router::filter::admit::wait_for_capacity;
use crate::router::filter::path::{FoundPath, find_path_or_peer};
use crate::router::filter::{check_before_send, deadline_passed, no_capacity, result_lost};

/// The maximum number of path repairs of one stream; each one sends an order, which has a cost.
const MAX_REPAIRS: u32 = 4;
/// How long a stream that lost its path looks for another one; callers give up on a silent
/// stream after two seconds.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1_800);
/// How often a stream with a silent path asks an empty retry budget for a retry.
const BUDGET_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Says which path a stream still has while it looks for another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PathLeft {
    /// None, so the stream ends if no other path can be had.
    None,
    /// A silent path, which may still go on.
    Silent,
}

/// Says why a stream goes on along no other path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(super) enum NotReplaced {
    /// The request, or a part of its prompt, has crashed endpoints.
    #[error("the request is quarantined")]
    Quarantined,
    /// The route allows no attempt at another endpoint.
    #[error("the attempts of the route are used up")]
    NoAttemptLeft,
    /// This entry's share of the retry budget is empty.
    #[error("the retry budget is exhausted")]
    BudgetExhausted,
    /// Several endpoints refused the request.
    #[error("the endpoints have no free capacity")]
    Refused,
    /// The only endpoint that the attempts allow sends answers beyond the limits.
    #[error("the only endpoint that may run it sends answers that are too long")]
    OnlyTooLong,
    /// An endpoint answered with a failure, which a stream that has begun cannot pass on.
    #[error("an endpoint answered with status {0}")]
    Failure(StatusCode),
    /// No path was found before the limit.
    #[error("no other path was found in time")]
    NoPath,
}

impl Relay {
    /// Refuses the request if it, or a part of its prompt, was convicted while it waited.
    pub(super) async fn check_before_send(&mut self) -> Result<(), Problem> {
        let (router, call) = (&self.router, &self.call);
        router.await_decision(call.digest, call.deadline).await;
        match check_before_send(router, call) {
            Err(_) if self.may_have_run() => Err(result_lost(
                "an attempt's answer was lost; the request is quarantined",
            )),
            checked => checked,
        }
    }

    /// Returns the problem for a request whose deadline passed before its answer began.
    pub(super) fn timeout_problem(&self) -> Problem {
        if self.may_have_run() {
            deadline_passed("no endpoint answered before the deadline; the request may have run")
        } else {
            no_capacity(
                "the deadline passed before an endpoint was free",
                RETRY_AFTER_MS,
            )
        }
    }

    /// Returns whether the request is quarantined because it, or a part of its prompt, crashed
    /// too many endpoints.
    pub(super) fn is_quarantined(&self) -> bool {
        let parts = &self.call.head.prompt_parts;
        if self.router.check_parts(parts).is_some() {
            return true;
        }
        self.router.is_quarantined(self.call.digest)
    }

    /// Replaces a lost endpoint of the path; returns whether the stream continues on the new path.
    pub(super) async fn repair(&mut self, lost: &EndpointId, why: &str) -> bool {
        let Some(path_run) = &mut self.path_run else {
            return false;
        };
        if self.repairs >= MAX_REPAIRS {
            return false;
        }
        self.repairs += 1;
        let repaired = path_run.repair(&self.call, &self.service, lost).await;
        self.stall_detector.begin(Instant::now());
        match repaired {
            RepairResult::Repaired(path) => {
                self.record.log_path_repaired(&path, why);
                true
            }
            RepairResult::Failed(refusal) => {
                self.record.log_repair_failed(lost, why, &refusal);
                false
            }
        }
    }

    /// Resumes the stream on another path, or aborts it.
    pub(super) async fn recover(&mut self, why: &str) -> Result<(), StreamAborted> {
        if self.call.time_left().is_none() || !self.may_repeat() {
            return self.give_up(why);
        }
        let progress = ReplacementProgress::default();
        match self.replace(why, PathLeft::None, &progress).await {
            Ok(OpenResult::Complete(status, ..)) => {
                self.give_up(&format!("{why}; {}", NotReplaced::Failure(status)))
            }
            Ok(_) => Ok(()),
            Err(e) => self.give_up(&format!("{why}; {e}")),
        }
    }

    /// Sends the request along another path until a stream starts.
    ///
    /// A stream that has no path left also keeps a new path that is silent, since that one may
    /// still answer. Beside a silent path, one other endpoint after another is tried within the
    /// attempts of the route; `progress` says whether one of them has the request.
    pub(super) async fn replace(
        &mut self,
        why: &str,
        left: PathLeft,
        progress: &ReplacementProgress,
    ) -> Result<OpenResult, NotReplaced> {
        let limit = match left {
            PathLeft::None => RECOVERY_LIMIT,
            PathLeft::Silent => Duration::MAX,
        };
        let lost_at = Instant::now();
        let mut refusals = 0;
        while self.call.time_left().is_some() && lost_at.elapsed() < limit {
            self.router
                .await_decision(self.call.digest, self.call.deadline)
                .await;
            if self.is_quarantined() {
                return Err(NotReplaced::Quarantined);
            }
            if left == PathLeft::Silent && !self.may_start_again() {
                return Err(NotReplaced::NoAttemptLeft);
            }
            if !self.router.has_retry(&self.service) {
                match left {
                    PathLeft::None => return Err(NotReplaced::BudgetExhausted),
                    PathLeft::Silent => tokio::time::sleep(BUDGET_RECHECK_INTERVAL).await,
                }
                continue;
            }
            let Some(found) = self.find_other_path(left)? else {
                wait_for_capacity(&self.router).await;
                continue;
            };
            let has_permit =
                found.peer.is_some() || self.router.take_permit(&found.first_run).await;
            if !has_permit || !self.router.try_retry(&self.service) {
                continue;
            }
            progress.set(true);
            let opened = match (self.open(found, why).await, left) {
                (OpenResult::Silent(..), PathLeft::Silent) => self.outwait_replacement().await,
                (opened, _) => opened,
            };
            progress.set(false);
            match opened {
                OpenResult::Stream(..) | OpenResult::Complete(..) | OpenResult::Silent(..) => {
                    return Ok(opened);
                }
                OpenResult::NotRun
                | OpenResult::NotRunByPeer(_)
                | OpenResult::NotReached
                | OpenResult::Refused(..) => {
                    refusals += 1;
                    if refusals >= MAX_REFUSALS {
                        return Err(NotReplaced::Refused);
                    }
                }
                OpenResult::Lost(_) | OpenResult::TooLong(_) => {}
            }
        }
        Err(NotReplaced::NoPath)
    }

    /// Chooses another path; `None` if there is none now.
    fn find_other_path(&self, left: PathLeft) -> Result<Option<FoundPath>, NotReplaced> {
        let mut without = self.avoided.clone();
        let mut same_first = None;
        match left {
            // The request still runs there.
            PathLeft::Silent => without.extend(self.first_endpoints.iter().cloned()),
            PathLeft::None if !self.may_start_again() => {
                same_first = self.first_endpoints.last();
                if same_first.is_some_and(|first| self.avoided.contains(first)) {
                    return Err(NotReplaced::OnlyTooLong);
                }
            }
            PathLeft::None => {}
        }
        let request = self.path_request(same_first, &without);
        Ok(find_path_or_peer(&self.router, &self.call, &request).ok())
    }

    /// Waits for the head of the answer on a replacement that is silent too.
    async fn outwait_replacement(&mut self) -> OpenResult {
        let Some(mut path_run) = self.path_run.take() else {
            return OpenResult::Lost("there is no path".to_owned());
        };
        let call = self.call.clone();
        let opened = path_run.outwait(&call).await;
        self.record_opened(&opened, &path_run);
        if matches!(opened, OpenResult::Stream(..)) {
            self.path_run = Some(path_run);
        }
        opened
    }
}

/// Says whether an endpoint has the request that replaces one on a silent path.
#[derive(Debug, Default)]
pub(super) struct ReplacementProgress(AtomicBool);

impl ReplacementProgress {
    fn set(&self, is_sent: bool) {
        self.0.store(is_sent, Ordering::Relaxed);
    }

    /// Waits for the replacement after the path that it replaces was lost: until the deadline
    /// while an endpoint has the request, and for the recovery limit otherwise.
    pub(super) async fn wait_for<T>(
        &self,
        mut replacing: impl Future<Output = Result<T, NotReplaced>> + Unpin,
    ) -> Option<T> {
        match tokio::time::timeout(RECOVERY_LIMIT, &mut replacing).await {
            Ok(replaced) => replaced.ok(),
            Err(_) if self.0.load(Ordering::Relaxed) => replacing.await.ok(),
            Err(_) => None,
        }
    }
}
