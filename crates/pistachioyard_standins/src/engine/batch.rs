//! Continuous batching: the loop that runs all steps of an engine.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use super::control::RunRecord;
use super::core::{Core, Engine, ReadyStep};
use super::link_message::MAX_LATENESS;
use super::stream::KvState;
use crate::token::run_layers;

/// The exit code of a process that ends because of a crash marker in a prompt.
const CRASH_EXIT_CODE: i32 = 3;

/// Holds the steps that run together.
struct Batch {
    steps: Vec<ReadyStep>,
    ends_at: Instant,
}

/// Runs batches until the process ends.
///
/// Batches are timed by their computed cost, not by when the timer fires, so a late
/// timer does not lower the rate: each wake-up finishes every batch whose end has
/// passed.
pub(crate) async fn run_batches(engine: Arc<Engine>) {
    let mut next_free = Instant::now();
    loop {
        let batch = take_batch(&engine, &mut engine.lock(), next_free);
        let Some(batch) = batch else {
            engine.work.notified().await;
            continue;
        };
        next_free = batch.ends_at;
        if batch.ends_at > Instant::now() {
            sleep_until(batch.ends_at).await;
        }
        finish_batch(&engine, &mut engine.lock(), &batch);
    }
}

/// Selects the steps that can start together once the previous batch has ended.
///
/// Returns `None` if no step is queued.
fn take_batch(engine: &Engine, core: &mut Core, next_free: Instant) -> Option<Batch> {
    let first = core.ready.iter().filter_map(|queue| queue.front());
    let arrived = first.map(|step| step.arrived).min()?;
    // A process that was paused makes up for no more than `MAX_LATENESS` of the pause.
    let earliest = Instant::now().checked_sub(MAX_LATENESS);
    let start = earliest.unwrap_or(arrived).max(next_free).max(arrived);
    let mut steps = Vec::new();
    let mut cost_tokens = 0.0;
    let held_layers = core.held.as_ref().map_or(1, |held| held.layers.len());
    let batch_limit = engine.settings.batch_limit() as usize;
    for queue in &mut core.ready {
        while steps.len() < batch_limit {
            let Some(step) = queue.pop_front_if(|step| step.arrived <= start) else {
                break;
            };
            let Some(stream) = core.streams.get_mut(&step.stream) else {
                continue;
            };
            let Some(job) = stream.job_for(step.attempt) else {
                continue;
            };
            let share = f64::from(job.stage().layers.len()) / f64::from(held_layers);
            cost_tokens += share * (1.0 + std::mem::take(&mut job.prefill_tokens));
            steps.push(step);
        }
    }
    let seconds =
        engine.settings.step_ms / 1_000.0 + cost_tokens / engine.settings.tokens_per_second;
    let cost = match steps.is_empty() {
        true => Duration::ZERO,
        false => Duration::from_secs_f64(seconds * core.faults.slow_factor.max(0.0)),
    };
    Some(Batch {
        steps,
        ends_at: start + cost,
    })
}

/// Computes the steps of a batch and forwards their results.
///
/// Exits the process if a step belongs to a prompt with a crash marker.
fn finish_batch(engine: &Arc<Engine>, core: &mut Core, batch: &Batch) {
    let crashes = |core: &mut Core, ready: &ReadyStep| {
        let stream = core.streams.get_mut(&ready.stream);
        stream.is_some_and(|s| s.job_for(ready.attempt).is_some_and(|job| job.crashes))
    };
    if batch.steps.iter().any(|ready| crashes(core, ready)) {
        eprintln!(
            "engine {}: exiting because a prompt contains a crash marker",
            engine.settings.endpoint
        );
        std::process::exit(CRASH_EXIT_CODE);
    }
    for ready in &batch.steps {
        finish_step(engine, core, *ready, batch.ends_at);
    }
}

fn finish_step(engine: &Arc<Engine>, core: &mut Core, ready: ReadyStep, ended_at: Instant) {
    let Some(stream) = core.streams.get_mut(&ready.stream) else {
        return;
    };
    let Some(job) = stream.job_for(ready.attempt) else {
        return;
    };
    let Some(step) = job.step.take() else { return };
    let layers = job.stage().layers;
    let state = run_layers(step.state, layers);
    let kv = KvState {
        model: job.request.model.clone(),
        version: job.request.version.clone(),
        layers,
        positions: step.index + 1,
        prefix_digest: job.prefix.seed(),
        prompt_tokens: super::flow::prompt_tokens(&job.request),
        attempt: ready.attempt,
    };
    stream.kv = Some(kv);
    stream.touched = Instant::now();
    core.record_run(RunRecord {
        stream: ready.stream,
        attempt: ready.attempt,
        index: step.index,
        layers,
    });
    engine.forward_result(
        core,
        (ready.stream, ready.attempt),
        step.index,
        state,
        ended_at,
    );
}
