//! Handling of lost neighbours in a chain.

use std::sync::Arc;

use pistachioyard_wire::{Attempt, EndpointId, StageFailure, StreamId};

use super::core::{Core, Engine};
use super::stream::StageJob;

impl Engine {
    /// Ends the attempts that depend on a lost endpoint.
    ///
    /// A stage depends on its neighbours in the chain. The head and the last stage
    /// depend on every endpoint of the chain.
    pub(crate) fn handle_neighbour_loss(self: &Arc<Self>, core: &mut Core, lost: &EndpointId) {
        let is_affected = |job: &StageJob| {
            let is_lost = |at: usize| {
                let stage = job.request.chain.get(at);
                stage.is_some_and(|s| s.endpoint == *lost)
            };
            let chain_ends = job.head.is_some() || job.next_stage().is_none();
            let adjacent = is_lost(job.position.wrapping_sub(1)) || is_lost(job.position + 1);
            adjacent || (chain_ends && job.request.chain.iter().any(|s| s.endpoint == *lost))
        };
        let jobs = core.streams.values().filter_map(|s| s.job.as_ref());
        let affected: Vec<_> = jobs
            .filter(|job| is_affected(job))
            .map(|job| (job.request.stream, job.request.attempt))
            .collect();
        for (stream, attempt) in affected {
            self.handle_stage_loss(core, stream, attempt, lost);
        }
    }

    /// Closes an attempt or reports the lost stage, depending on where in the chain this stage is.
    fn handle_stage_loss(
        self: &Arc<Self>,
        core: &mut Core,
        stream: StreamId,
        attempt: Attempt,
        lost: &EndpointId,
    ) {
        let Some(job) = core
            .streams
            .get_mut(&stream)
            .and_then(|s| s.job_for(attempt))
        else {
            return;
        };
        if job.next_stage().is_some_and(|next| next.endpoint == *lost) {
            job.opened_next = false;
        }
        // The stage before the lost one sees its own link break and reports it to the head.
        let previous = job.position.checked_sub(1);
        let is_previous_lost = previous.is_some_and(|at| job.request.chain[at].endpoint == *lost);
        if is_previous_lost || job.head_stage().endpoint == *lost {
            self.close(core, stream, attempt);
            return;
        }
        let failure = StageFailure::Lost {
            endpoint: lost.clone(),
        };
        self.fail(core, stream, attempt, failure);
    }
}
