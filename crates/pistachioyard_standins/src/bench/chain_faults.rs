//! Scenarios in which one stage of the chains fails.

use std::time::{Duration, Instant};

use super::BenchError;
use super::bound::{bound_of, read_reports};
use super::figures::{LatencyHistogram, token_rate};
use super::record::Record;
use super::report::{Check, ScenarioReport};
use super::run::{Measurement, Run};
use crate::{EngineFaults, RunRecord};

/// The target 95th percentile of the time to the next token after a kill, in milliseconds.
const KILL_RECOVERY_MS: f64 = 500.0;
/// The target 95th percentile of the time to the next token after a freeze, in milliseconds.
const FREEZE_RECOVERY_MS: f64 = 1_500.0;
/// The time after a kill by which throughput must have recovered.
const THROUGHPUT_RECOVERY_TIME: Duration = Duration::from_secs(3);
/// The fraction of the new bound that throughput must recover to.
const THROUGHPUT_RECOVERY_RATIO: f64 = 0.95;
/// The time after a fault within which a gap between tokens must begin to be attributed to
/// the fault.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long an engine stays frozen.
const FREEZE_TIME: Duration = Duration::from_secs(3);
/// The slowdown factor of the steps of a slow engine.
const SLOW_FACTOR: f64 = 4.0;
/// The load with a slow engine, as a fraction of the throughput bound.
const SLOW_LOAD: f64 = 0.3;
/// The load during a freeze, as a fraction of the throughput bound.
const FREEZE_LOAD: f64 = 0.5;
/// The index of the engine that fails, which runs the first layers of its chains.
const FAILING_ENGINE: usize = 0;

/// Kills a stage under saturation.
pub(super) async fn kill(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating_arrivals(), run.requests(0)?);
    let (measurement, (killed_at, new_bound)) = run
        .measure_with_fault(load, async |run| {
            let killed_at = Instant::now();
            run.cluster.engines[FAILING_ENGINE].child.kill()?;
            let reports = read_reports(&run.cluster).await;
            Ok((killed_at, bound_of(&run.cluster, &reports)?))
        })
        .await?;
    let recovery = recovery_histogram(run, &measurement, killed_at)?;
    let recovered_at = killed_at + THROUGHPUT_RECOVERY_TIME;
    let recovered =
        token_rate(measurement.records.iter(), recovered_at, measurement.to) / new_bound;
    let figures = measurement.figures();
    let checks = vec![
        Check::at_most(
            "next token p95 ms",
            recovery.quantile_ms(0.95),
            KILL_RECOVERY_MS,
        ),
        Check::at_least(
            "throughput after 3 s / new bound",
            recovered,
            THROUGHPUT_RECOVERY_RATIO,
        ),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("kill", figures, checks))
}

/// Freezes and resumes a stage; then, under a second load, slows another one down.
pub(super) async fn freeze(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.open_loop_at(FREEZE_LOAD), run.requests(0)?);
    let (measurement, frozen_at) = run
        .measure_with_fault(load, async |run| {
            let frozen_at = Instant::now();
            run.cluster.engines[FAILING_ENGINE].child.freeze()?;
            tokio::time::sleep(FREEZE_TIME).await;
            run.cluster.engines[FAILING_ENGINE].child.thaw()?;
            Ok(frozen_at)
        })
        .await?;
    let recovery = recovery_histogram(run, &measurement, frozen_at)?;
    let figures = measurement.figures();
    let retried = streams_retried_with_slow_stage(run).await?;
    let checks = vec![
        Check::at_most(
            "next token p95 ms",
            recovery.quantile_ms(0.95),
            FREEZE_RECOVERY_MS,
        ),
        Check::at_most("failed", figures.failed as f64, 0.0),
        Check::at_most("streams that gave up a slow stage", retried as f64, 0.0),
    ];
    Ok(run.report("freeze", figures, checks))
}

/// Returns a histogram of the times to the next token, over all streams that ran through the
/// failed stage.
fn recovery_histogram(
    run: &Run,
    measurement: &Measurement,
    at: Instant,
) -> Result<LatencyHistogram, BenchError> {
    let failed = run.cluster.engines[FAILING_ENGINE].name.as_str();
    let is_affected = |record: &&Record| {
        record.is_in_progress_at(at) && record.stages.iter().any(|stage| stage.as_str() == failed)
    };
    let mut times = LatencyHistogram::new();
    for record in measurement.records.iter().filter(is_affected) {
        match record.recovery_time(at, at + SETTLE_TIME) {
            Some(time) => times.record(time),
            None => times.record_missing(),
        }
    }
    println!(
        "  {} streams ran through the failed stage; next token ms {:?}",
        times.len(),
        times.quantiles()
    );
    match times.len() {
        0 => Err(BenchError::NoSamples {
            reason: "no stream ran through the failed stage",
        }),
        _ => Ok(times),
    }
}

/// Slows one engine down and returns the number of streams that were retried.
async fn streams_retried_with_slow_stage(run: &Run) -> Result<usize, BenchError> {
    let slow = &run.cluster.engines[FAILING_ENGINE + 1];
    let before = retried_streams(run).await;
    let faults = EngineFaults {
        slow_factor: SLOW_FACTOR,
        ..EngineFaults::default()
    };
    let _: () = run
        .cluster
        .client
        .put_json(slow.address, "/control/faults", &faults)
        .await?;
    let load = run.load(run.open_loop_at(SLOW_LOAD), run.requests(1)?);
    let _ = load.run().await;
    let after = retried_streams(run).await;
    Ok(after.difference(&before).count())
}

/// Returns the streams that any engine ran with an attempt number above 1.
async fn retried_streams(run: &Run) -> std::collections::HashSet<pistachioyard_wire::StreamId> {
    let mut streams = std::collections::HashSet::new();
    for engine in &run.cluster.engines {
        let runs = run.cluster.client.get_json(engine.address, "/control/runs");
        let runs: Vec<RunRecord> = runs.await.unwrap_or_default();
        let retried = runs.into_iter().filter(|run| run.attempt.0 > 1);
        streams.extend(retried.map(|run| run.stream));
    }
    streams
}
