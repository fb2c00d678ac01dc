//! Repairs the path of a running stream, or resumes the stream on another path.

use super::Relay;
use super::path_run::{OpenResult, RepairResult};
use crate::prelude::*;
use crate::router::answer::StreamAborted;
use crate::router::filter::path::{find_path, wait_for_capacity};

/// The maximum number of path repairs of one stream; each one sends an order, which has a cost.
const MAX_REPAIRS: u32 = 4;
/// How long a stream that lost its path looks for another one; callers give up on a silent
/// stream after two seconds.
const RECOVERY_LIMIT: Duration = Duration::from_millis(1_800);
impl Relay {
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
        let lost_at = Instant::now();
        if self.call.time_left().is_none() || !self.may_repeat() {
            return self.give_up(why);
        }
        while lost_at.elapsed() < RECOVERY_LIMIT && self.call.time_left().is_some() {
            let same_first = (!self.may_start_again())
                .then(|| self.first_endpoints.last().cloned())
                .flatten();
            if same_first
                .as_ref()
                .is_some_and(|first| self.avoided.contains(first))
            {
                return self.give_up(why);
            }
            let Ok(found) = find_path(&self.router, &self.path_request(same_first.as_ref())) else {
                wait_for_capacity(&self.router).await;
                continue;
            };
            if !self.router.try_retry() {
                return self.give_up("the retry budget is exhausted");
            }
            let mut record = self.record.take();
            let opened = self.open(found, &mut record, why).await;
            self.record = record;
            if let OpenResult::Stream(..) = opened {
                return Ok(());
            }
        }
        self.give_up(why)
    }

    fn give_up(&mut self, why: &str) -> Result<(), StreamAborted> {
        self.record.end_aborted(why);
        Err(StreamAborted)
    }
}
