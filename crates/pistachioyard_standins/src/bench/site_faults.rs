//! Scenarios in which workers restart, an entry is lost or a data centre is.

use std::time::{Duration, Instant};

use super::BenchError;
use super::bound::{bound_of, read_reports};
use super::figures::Times;
use super::report::{Check, ScenarioReport};
use super::run::Run;

/// The share of the bound that throughput must keep through restarts.
const RESTARTS_RATIO: f64 = 0.85;
/// One in so many engines is restarted.
const RESTARTED_IN: usize = 10;
/// How long a restarted engine is away.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// The load of an entry's loss, as a share of the bound.
const ENTRY_LOSS_LOAD: f64 = 0.6;
/// The time in which the lost entry's callers must be served elsewhere.
const ENTRY_LOSS_MS: f64 = 1_000.0;
/// The load of a data centre's loss, as a share of the bound.
const CENTRE_LOSS_LOAD: f64 = 0.3;
/// The time in which streams must go on after a data centre's loss.
const CENTRE_LOSS_MS: f64 = 5_000.0;
/// How long after a fault a silence may begin that the fault caused.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// The data centre and the entry that are lost.
const LOST: usize = 1;

/// One worker in ten is restarted in turn under saturation.
pub(super) async fn restarts(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating(), run.requests(0)?);
    let until = Instant::now() + run.plan.duration;
    let (measured, ()) = run
        .measure_disturbed(load, async |run| restart_in_turn(run, until).await)
        .await?;
    let figures = measured.figures();
    let ratio = figures.tokens_per_second / run.bound;
    let checks = vec![
        Check::at_least("throughput / bound", ratio, RESTARTS_RATIO),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("restarts", figures, checks))
}

async fn restart_in_turn(run: &mut Run, until: Instant) -> Result<(), BenchError> {
    let places: Vec<usize> = (0..run.cluster.engines.len())
        .step_by(RESTARTED_IN)
        .collect();
    let left = until.saturating_duration_since(Instant::now());
    let interval = left / places.len() as u32;
    for place in places {
        let started_at = Instant::now();
        run.cluster.engines[place].child.kill()?;
        tokio::time::sleep(RESTART_TIME).await;
        run.cluster.restart_engine(place)?;
        tokio::time::sleep_until((started_at + interval).into()).await;
    }
    Ok(())
}

/// An entry is killed.
pub(super) async fn entry_loss(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.share_of_bound(ENTRY_LOSS_LOAD), run.requests(0)?);
    let lost = run.entries()[LOST];
    let (measured, killed_at) = run
        .measure_disturbed(load, async |run| {
            let killed_at = Instant::now();
            run.cluster.entries[LOST].child.kill()?;
            Ok(killed_at)
        })
        .await?;
    let affected = measured
        .records
        .iter()
        .filter(|record| record.entry == lost);
    let affected = affected.filter(|record| record.spans(killed_at));
    let mut times = Times::new();
    for record in affected {
        match record.recovery(killed_at, killed_at + SETTLE_TIME) {
            Some(time) => times.record(time),
            None => times.record_never(),
        }
    }
    println!("  {} streams were at the lost entry", times.len());
    let figures = measured.figures();
    let checks = vec![
        Check::at_most("next token p95 ms", times.quantile_ms(0.95), ENTRY_LOSS_MS),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("entry-loss", figures, checks))
}

/// All engines of one data centre are killed at once.
pub(super) async fn centre_loss(run: &mut Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.share_of_bound(CENTRE_LOSS_LOAD), run.requests(0)?);
    let (measured, (killed_at, lost, new_bound)) = run
        .measure_disturbed(load, async |run| {
            let killed_at = Instant::now();
            let engines = run.cluster.engines.iter_mut();
            let mut lost = Vec::new();
            for engine in engines.filter(|engine| engine.data_centre == LOST) {
                engine.child.kill()?;
                lost.push(engine.name.clone());
            }
            let reports = read_reports(&run.cluster).await;
            Ok((killed_at, lost, bound_of(&run.cluster, &reports)?))
        })
        .await?;
    let mut times = Times::new();
    for record in measured.records.iter().filter(|r| r.spans(killed_at)) {
        let is_affected =
            |stage: &pistachioyard_wire::EndpointId| lost.iter().any(|name| name == stage.as_str());
        if !record.stages.iter().any(is_affected) {
            continue;
        }
        match record.recovery(killed_at, killed_at + SETTLE_TIME) {
            Some(time) => times.record(time),
            None => times.record_never(),
        }
    }
    println!(
        "  {} engines and the stages of {} streams were lost; the new bound is {new_bound:.0}",
        lost.len(),
        times.len()
    );
    let figures = measured.figures();
    let checks = vec![
        Check::at_most("next token p95 ms", times.quantile_ms(0.95), CENTRE_LOSS_MS),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("centre-loss", figures, checks))
}
