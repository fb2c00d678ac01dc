//! Scenarios in which one stage of chains fails.

use std::time::{Duration, Instant};

use super::BenchError;
use super::bound::{bound_of, read_reports};
use super::figures::{Times, rate};
use super::record::Record;
use super::report::{Check, ScenarioReport};
use super::run::{Measured, Run};
use crate::{EngineFaults, RunRecord};

/// The time to the next token after a kill for 95 in 100, in milliseconds.
const KILL_RECOVERY_MS: f64 = 500.0;
/// The time to the next token after a freeze for 95 in 100, in milliseconds.
const FREEZE_RECOVERY_MS: f64 = 1_500.0;
/// The time after which throughput must be back.
const THROUGHPUT_BACK: Duration = Duration::from_secs(3);
/// The share of the new bound that throughput must come back to.
const THROUGHPUT_BACK_RATIO: f64 = 0.95;
/// How long after a fault a silence may begin that the fault caused.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How long an engine stays frozen.
const FREEZE_TIME: Duration = Duration::from_secs(3);
/// The factor on the steps of an engine that is merely slow.
const SLOW_FACTOR: f64 = 4.0;
/// The load with a slow engine, as a share of the bound.
const SLOW_LOAD: f64 = 0.3;
/// The load of a freeze, as a share of the bound.
const FREEZE_LOAD: f64 = 0.5;
/// The engine that fails: the head of the first chains.
const FAILING: usize = 0;

/// A stage is killed under saturation.
pub(super) async fn kill(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating(), run.requests(0)?);
    let (measured, (killed_at, new_bound)) = run
        .measure_disturbed(load, async |run| {
            let killed_at = Instant::now();
            run.cluster.engines[FAILING].child.kill()?;
            let reports = read_reports(&run.cluster).await;
            Ok((killed_at, bound_of(&run.cluster, &reports)?))
        })
        .await?;
    let recovery = recovery_times(run, &measured, killed_at)?;
    let back_at = killed_at + THROUGHPUT_BACK;
    let back = rate(measured.records.iter(), back_at, measured.to) / new_bound;
    let figures = measured.figures();
    let checks = vec![
        Check::at_most(
            "next token p95 ms",
            recovery.quantile_ms(0.95),
            KILL_RECOVERY_MS,
        ),
        Check::at_least(
            "throughput after 3 s / new bound",
            back,
            THROUGHPUT_BACK_RATIO,
        ),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("kill", figures, checks))
}

/// A stage freezes; afterwards another one is merely slow.
pub(super) async fn freeze(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.share_of_bound(FREEZE_LOAD), run.requests(0)?);
    let (measured, frozen_at) = run
        .measure_disturbed(load, async |run| {
            let frozen_at = Instant::now();
            run.cluster.engines[FAILING].child.freeze()?;
            tokio::time::sleep(FREEZE_TIME).await;
            run.cluster.engines[FAILING].child.thaw()?;
            Ok(frozen_at)
        })
        .await?;
    let recovery = recovery_times(run, &measured, frozen_at)?;
    let figures = measured.figures();
    let given_up = attempts_on_slow(run).await?;
    let checks = vec![
        Check::at_most(
            "next token p95 ms",
            recovery.quantile_ms(0.95),
            FREEZE_RECOVERY_MS,
        ),
        Check::at_most("failed", figures.failed as f64, 0.0),
        Check::at_most("streams that gave up a slow stage", given_up as f64, 0.0),
    ];
    Ok(run.report("freeze", figures, checks))
}

/// Returns the times to the next token of all streams with the failed stage.
fn recovery_times(run: &Run, measured: &Measured, at: Instant) -> Result<Times, BenchError> {
    let failed = run.cluster.engines[FAILING].name.as_str();
    let is_affected = |record: &&Record| {
        record.spans(at) && record.stages.iter().any(|stage| stage.as_str() == failed)
    };
    let mut times = Times::new();
    for record in measured.records.iter().filter(is_affected) {
        match record.recovery(at, at + SETTLE_TIME) {
            Some(time) => times.record(time),
            None => times.record_never(),
        }
    }
    println!(
        "  {} streams had the failed stage; next token ms {:?}",
        times.len(),
        times.quantiles()
    );
    match times.len() {
        0 => Err(BenchError::NothingSeen {
            what: "no stream had the failed stage",
        }),
        _ => Ok(times),
    }
}

/// Slows one engine down and counts the streams that were tried anew.
async fn attempts_on_slow(run: &Run) -> Result<usize, BenchError> {
    let slow = &run.cluster.engines[FAILING + 1];
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
    let load = run.load(run.share_of_bound(SLOW_LOAD), run.requests(1)?);
    let _ = load.run().await;
    let after = retried_streams(run).await;
    Ok(after.difference(&before).count())
}

/// Returns the streams of which any engine ran a second attempt.
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
