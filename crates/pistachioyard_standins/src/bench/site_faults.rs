//! Scenarios in which engines restart, or an entry or a data centre is lost.

use std::time::{Duration, Instant};

use super::BenchError;
use super::bound::{bound_of, read_reports};
use super::figures::LatencyHistogram;
use super::report::{Check, ScenarioReport};
use super::run::Run;

/// The fraction of the throughput bound that must be kept during restarts.
const RESTARTS_RATIO: f64 = 0.85;
/// The step between restarted engines: every nth engine is restarted.
const RESTART_EVERY_NTH: usize = 10;
/// The time between the kill and the start of a restarted engine.
const RESTART_DOWNTIME: Duration = Duration::from_millis(500);
/// The load during the loss of an entry, as a fraction of the throughput bound.
const ENTRY_LOSS_LOAD: f64 = 0.6;
/// The target 95th percentile of the time to the next token after the loss of an entry, in
/// milliseconds.
const ENTRY_LOSS_MS: f64 = 1_000.0;
/// The load during the loss of a data centre, as a fraction of the throughput bound.
const CENTRE_LOSS_LOAD: f64 = 0.3;
/// The target 95th percentile of the time to the next token after the loss of a data
/// centre, in milliseconds.
const CENTRE_LOSS_MS: f64 = 5_000.0;
/// The time after a fault within which a gap between tokens must begin to be attributed to
/// the fault.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The index of the entry, or of the data centre, that is lost.
const LOST_INDEX: usize = 1;

/// Restarts one engine in ten, one after another, under saturation.
pub(super) async fn restarts(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating_arrivals(), run.requests(0)?);
    let until = Instant::now() + run.plan.duration;
    let (measurement, ()) = run
        .measure_with_fault(load, async |run| restart_one_by_one(run, until).await)
        .await?;
    let figures = measurement.figures();
    let ratio = figures.tokens_per_second / run.bound;
    let checks = vec![
        Check::at_least("throughput / bound", ratio, RESTARTS_RATIO),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("restarts", figures, checks))
}

/// Kills and restarts the selected engines, spread evenly over the time until `until`.
async fn restart_one_by_one(run: &mut Run, until: Instant) -> Result<(), BenchError> {
    let indices: Vec<usize> = (0..run.cluster.engines.len())
        .step_by(RESTART_EVERY_NTH)
        .collect();
    let remaining = until.saturating_duration_since(Instant::now());
    let interval = remaining / indices.len() as u32;
    for index in indices {
        let started_at = Instant::now();
        run.cluster.engines[index].child.kill()?;
        tokio::time::sleep(RESTART_DOWNTIME).await;
        run.cluster.restart_engine(index)?;
        tokio::time::sleep_until((started_at + interval).into()).await;
    }
    Ok(())
}

/// Kills an entry under load.
pub(super) async fn entry_loss(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.open_loop_at(ENTRY_LOSS_LOAD), run.requests(0)?);
    let lost = run.entries()[LOST_INDEX];
    let (measurement, killed_at) = run
        .measure_with_fault(load, async |run| {
            let killed_at = Instant::now();
            run.cluster.entries[LOST_INDEX].child.kill()?;
            Ok(killed_at)
        })
        .await?;
    let affected = measurement
        .records
        .iter()
        .filter(|record| record.entry == lost);
    let affected = affected.filter(|record| record.is_in_progress_at(killed_at));
    let mut times = LatencyHistogram::new();
    for record in affected {
        match record.recovery_time(killed_at, killed_at + SETTLE_TIME) {
            Some(time) => times.record(time),
            None => times.record_missing(),
        }
    }
    println!("  {} streams ran through the lost entry", times.len());
    let figures = measurement.figures();
    let checks = vec![
        Check::at_most("next token p95 ms", times.quantile_ms(0.95), ENTRY_LOSS_MS),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("entry-loss", figures, checks))
}

/// Kills all engines of one data centre at once.
pub(super) async fn centre_loss(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.open_loop_at(CENTRE_LOSS_LOAD), run.requests(0)?);
    let (measurement, (killed_at, lost, new_bound)) = run
        .measure_with_fault(load, async |run| {
            let killed_at = Instant::now();
            let engines = run.cluster.engines.iter_mut();
            let mut lost = Vec::new();
            for engine in engines.filter(|engine| engine.data_centre == LOST_INDEX) {
                engine.child.kill()?;
                lost.push(engine.name.clone());
            }
            let reports = read_reports(&run.cluster).await;
            Ok((killed_at, lost, bound_of(&run.cluster, &reports)?))
        })
        .await?;
    let mut times = LatencyHistogram::new();
    for record in measurement
        .records
        .iter()
        .filter(|r| r.is_in_progress_at(killed_at))
    {
        let is_affected =
            |stage: &pistachioyard_wire::EndpointId| lost.iter().any(|name| name == stage.as_str());
        if !record.stages.iter().any(is_affected) {
            continue;
        }
        match record.recovery_time(killed_at, killed_at + SETTLE_TIME) {
            Some(time) => times.record(time),
            None => times.record_missing(),
        }
    }
    println!(
        "  {} engines were lost, which ran stages of {} streams; new bound {new_bound:.0}",
        lost.len(),
        times.len()
    );
    let figures = measurement.figures();
    let checks = vec![
        Check::at_most("next token p95 ms", times.quantile_ms(0.95), CENTRE_LOSS_MS),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("centre-loss", figures, checks))
}
