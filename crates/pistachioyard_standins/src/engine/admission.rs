//! Admission: which jobs hold a slot, and in which order the waiting jobs get one.

use pistachioyard_wire::{Attempt, StreamId};
use tokio::time::Instant;

use super::core::{Core, Engine, ReadyStep, queue_index};
use super::stream::StageJob;

/// Queues the pending step of a job for a batch, or the job itself if no slot is free.
///
/// A job that already holds a slot keeps it, so its step is always queued.
pub(crate) fn request_slot(
    engine: &Engine,
    core: &mut Core,
    stream: StreamId,
    attempt: Attempt,
    arrived: Instant,
) {
    let has_slot = core.admitted < engine.settings.slots;
    let Some(job) = core
        .streams
        .get_mut(&stream)
        .and_then(|s| s.job_for(attempt))
    else {
        return;
    };
    let queue = queue_index(job.request.priority);
    if !job.admitted && !has_slot {
        core.waiting[queue].push_back((stream, attempt));
        return;
    }
    core.admitted += u32::from(!job.admitted);
    job.admitted = true;
    core.ready[queue].push_back(ReadyStep {
        stream,
        attempt,
        arrived,
    });
    engine.work.notify_one();
}

/// Releases the slot of an ended job and admits waiting jobs, highest priority first.
pub(crate) fn release_slot(engine: &Engine, core: &mut Core, ended: &StageJob) {
    if !ended.admitted {
        return;
    }
    core.admitted -= 1;
    while core.admitted < engine.settings.slots {
        let next = core.waiting.iter_mut().find_map(|queue| queue.pop_front());
        let Some((stream, attempt)) = next else {
            return;
        };
        request_slot(engine, core, stream, attempt, Instant::now());
    }
}
