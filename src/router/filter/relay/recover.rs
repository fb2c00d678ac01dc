//! Resumes a stream on another path.

use pistachioyard_policy::QuarantineVerdict;

use super::Relay;
use super::path_run::OpenResult;
use crate::prelude::*;
use crate::router::answer::StreamAborted;
use crate::router::filter::path::{find_path, wait_for_capacity};
use crate::router::filter::result_lost;

/// How long a stream that lost its path looks for another one; callers give up on a silent
/// stream after two seconds.
pub(super) const RECOVERY_LIMIT: Duration = Duration::from_millis(1_800);
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

impl Relay {
    /// Refuses the request if a part of its prompt was convicted while it waited.
    pub(super) fn check_parts(&self) -> Result<(), Problem> {
        match self.router.check_parts(&self.call.head.prompt_parts) {
            None => Ok(()),
            Some(_) if self.may_have_run() => Err(result_lost(
                "an attempt's answer was lost; the request is quarantined",
            )),
            Some(problem) => Err(problem),
        }
    }

    /// Returns whether the request is quarantined because it, or a part of its prompt, crashed
    /// too many endpoints.
    pub(super) fn is_quarantined(&self) -> bool {
        let parts = &self.call.head.prompt_parts;
        if self.router.check_parts(parts).is_some() {
            return true;
        }
        let quarantine = self.router.quarantine.lock();
        let verdict = quarantine.verdict(self.call.digest, Instant::now());
        matches!(verdict, QuarantineVerdict::Quarantined { .. })
    }

    /// Resumes the stream on another path, or aborts it.
    pub(super) async fn recover(&mut self, why: &str) -> Result<(), StreamAborted> {
        if self.call.time_left().is_none() || !self.may_repeat() {
            return self.give_up(why);
        }
        match self.replace(why, PathLeft::None).await {
            Ok(_) => Ok(()),
            Err(reason) => self.give_up(&format!("{why}; {reason}")),
        }
    }

    /// Sends the request along another path until a stream starts.
    ///
    /// A stream that has no path left also keeps a new path that is silent, since that one may
    /// still answer.
    pub(super) async fn replace(
        &mut self,
        why: &str,
        left: PathLeft,
    ) -> Result<OpenResult, &'static str> {
        let limit = match left {
            PathLeft::None => RECOVERY_LIMIT,
            PathLeft::Silent => Duration::MAX,
        };
        let lost_at = Instant::now();
        while self.call.time_left().is_some() && lost_at.elapsed() < limit {
            if self.is_quarantined() {
                return Err("the request is quarantined");
            }
            let same_first = (!self.may_start_again())
                .then(|| self.first_endpoints.last().cloned())
                .flatten();
            let Ok(found) = find_path(&self.router, &self.path_request(same_first.as_ref())) else {
                wait_for_capacity(&self.router).await;
                continue;
            };
            match (self.router.try_retry(), left) {
                (true, _) => {}
                (false, PathLeft::None) => return Err("the retry budget is exhausted"),
                (false, PathLeft::Silent) => {
                    tokio::time::sleep(BUDGET_RECHECK_INTERVAL).await;
                    continue;
                }
            }
            match (self.open(found, why).await, left) {
                (opened @ OpenResult::Stream(..), _)
                | (opened @ OpenResult::Silent(..), PathLeft::None) => return Ok(opened),
                _ => {}
            }
        }
        Err("no other path was found in time")
    }
}
