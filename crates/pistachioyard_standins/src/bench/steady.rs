//! Scenarios without faults.

use pistachioyard_wire::Priority;

use super::BenchError;
use super::figures::{Figures, token_rate};
use super::load::Arrivals;
use super::record::{Record, RecordEnd};
use super::report::{Check, ScenarioReport};
use super::run::{Measurement, Run};

/// The fraction of the throughput bound that saturation must reach.
const SATURATION_RATIO: f64 = 0.90;
/// The default load of the `eighty` scenario, as a fraction of the throughput bound.
pub(super) const DEFAULT_OPEN_LOOP_LOAD: f64 = 0.80;
/// The target 95th percentile of the time to the first token, in milliseconds.
const FIRST_TOKEN_MS: f64 = 1_700.0;
/// The target 95th percentile of the time between tokens, in milliseconds.
const BETWEEN_TOKENS_MS: f64 = 31.0;
/// The load of the `overload` scenario, as a fraction of the throughput bound.
const OVERLOAD_LOAD: f64 = 2.0;
/// The fraction of peak throughput that goodput must keep in an overload.
const GOODPUT_RATIO: f64 = 0.90;
/// The fraction of high-priority requests that must complete in an overload.
const HIGH_PRIORITY_DONE_RATIO: f64 = 0.99;
/// The number of callers of the workspace that floods the entries.
const FLOOD_CALLERS: usize = 400;
/// The load of the workspaces within their share, as a fraction of the throughput bound.
const WITHIN_SHARE_LOAD: f64 = 0.10;

/// Keeps all slots of the chains' first engines occupied.
pub(super) async fn saturation(run: &Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating_arrivals(), run.requests(0)?);
    let figures = run.measure(load).await.figures();
    let ratio = figures.tokens_per_second / run.bound;
    let checks = vec![
        Check::at_least("throughput / bound", ratio, SATURATION_RATIO),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("saturation", figures, checks))
}

/// Sends Poisson arrivals at a fixed fraction of the throughput bound.
pub(super) async fn eighty(run: &Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.open_loop_at(run.plan.share), run.requests(0)?);
    let figures = run.measure(load).await.figures();
    let first_ms = figures.first_token_ms.p95;
    let between_ms = figures.between_tokens_ms.p95;
    let checks = vec![
        Check::at_most("first token p95 ms", first_ms, FIRST_TOKEN_MS),
        Check::at_most("between tokens p95 ms", between_ms, BETWEEN_TOKENS_MS),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("eighty", figures, checks))
}

/// Measures peak throughput, then sends Poisson arrivals at twice the throughput bound.
pub(super) async fn overload(run: &Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating_arrivals(), run.requests(0)?);
    let peak = run.measure(load).await.figures().tokens_per_second;
    let requests = run.requests(1)?.with_mixed_priorities();
    let load = run.load(run.open_loop_at(OVERLOAD_LOAD), requests);
    let measurement = run.measure(load).await;
    let is_high = |r: &&Record| r.priority == Some(Priority::High);
    let high_records = measurement.records.iter().filter(is_high);
    let high = Figures::new(high_records, measurement.from, measurement.to);
    let checks = vec![
        Check::at_least(
            "goodput / peak",
            goodput(&measurement) / peak,
            GOODPUT_RATIO,
        ),
        Check::at_most(
            "high: first token p95 ms",
            high.first_token_ms.p95,
            FIRST_TOKEN_MS,
        ),
        Check::at_least(
            "high: share done",
            done_ratio(&high),
            HIGH_PRIORITY_DONE_RATIO,
        ),
        Check::at_most("failed", high.failed as f64, 0.0),
    ];
    Ok(run.report("overload", measurement.figures(), checks))
}

/// Floods the entries from one workspace while others send requests within their share.
pub(super) async fn fairness(run: &Run) -> Result<ScenarioReport, BenchError> {
    let (large, small) = run.plan.deployment.workspaces();
    let flood = Arrivals::Closed {
        callers: FLOOD_CALLERS,
    };
    let flood = run.load(flood, run.requests(0)?.only(small));
    let others = run.requests(1)?.without(small).without(large);
    let others = others.with_normal_priority();
    let others = run.load(run.open_loop_at(WITHIN_SHARE_LOAD), others);
    let (flood, others) = tokio::join!(run.measure(flood), run.measure(others));
    let served = others.figures();
    let mut records = flood.records;
    records.extend(others.records);
    let checks = vec![
        Check::at_least("within its share: share done", done_ratio(&served), 1.0),
        Check::at_most(
            "within its share: first token p95 ms",
            served.first_token_ms.p95,
            FIRST_TOKEN_MS,
        ),
    ];
    let all = Figures::new(records.iter(), others.from, others.to);
    Ok(run.report("fairness", all, checks))
}

/// Returns the tokens per second of complete answers.
fn goodput(measurement: &Measurement) -> f64 {
    let complete = measurement
        .records
        .iter()
        .filter(|r| r.end == RecordEnd::Done);
    token_rate(complete, measurement.from, measurement.to)
}

/// Returns the fraction of requests that completed.
fn done_ratio(figures: &Figures) -> f64 {
    let others = figures.refused() + figures.failed + figures.wrong;
    figures.done as f64 / (figures.done + others).max(1) as f64
}
