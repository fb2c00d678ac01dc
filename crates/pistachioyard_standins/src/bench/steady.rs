//! Scenarios without faults.

use pistachioyard_wire::Priority;

use super::BenchError;
use super::figures::{Figures, rate};
use super::load::Arrivals;
use super::record::{Record, RecordEnd};
use super::report::{Check, ScenarioReport};
use super::run::{Measured, Run};

/// The share of the bound that saturation must reach.
const SATURATION_RATIO: f64 = 0.90;
/// The load of the open loop, as a share of the bound.
pub(super) const EIGHTY: f64 = 0.80;
/// The time to the first token for 95 in 100, in milliseconds.
const FIRST_TOKEN_MS: f64 = 1_700.0;
/// The time between tokens for 95 in 100, in milliseconds.
const BETWEEN_TOKENS_MS: f64 = 31.0;
/// The load of an overload, as a share of the bound.
const OVERLOAD: f64 = 2.0;
/// The share of the peak that goodput must keep in an overload.
const GOODPUT_RATIO: f64 = 0.90;
/// The share of high-priority requests that must be done in an overload.
const HIGH_DONE: f64 = 0.99;
/// The callers of the workspace that floods.
const FLOOD_CALLERS: usize = 400;
/// The load of the workspace within its share, as a share of the bound.
const WITHIN_SHARE: f64 = 0.10;

/// As many callers as every engine has places for.
pub(super) async fn saturation(run: &Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating(), run.requests(0)?);
    let figures = run.measure(load).await.figures();
    let ratio = figures.tokens_per_second / run.bound;
    let checks = vec![
        Check::at_least("throughput / bound", ratio, SATURATION_RATIO),
        Check::at_most("failed", figures.failed as f64, 0.0),
    ];
    Ok(run.report("saturation", figures, checks))
}

/// Four fifths of the bound, by Poisson arrivals.
pub(super) async fn eighty(run: &Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.share_of_bound(run.plan.share), run.requests(0)?);
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

/// Twice the bound, after the peak was measured.
pub(super) async fn overload(run: &Run) -> Result<ScenarioReport, BenchError> {
    let load = run.load(run.saturating(), run.requests(0)?);
    let peak = run.measure(load).await.figures().tokens_per_second;
    let requests = run.requests(1)?.with_mixed_priorities();
    let load = run.load(run.share_of_bound(OVERLOAD), requests);
    let measured = run.measure(load).await;
    let high = |r: &&Record| r.priority == Some(Priority::High);
    let high_records = measured.records.iter().filter(high);
    let high = Figures::new(high_records, measured.from, measured.to);
    let checks = vec![
        Check::at_least("goodput / peak", goodput(&measured) / peak, GOODPUT_RATIO),
        Check::at_most(
            "high: first token p95 ms",
            high.first_token_ms.p95,
            FIRST_TOKEN_MS,
        ),
        Check::at_least("high: share done", share_done(&high), HIGH_DONE),
        Check::at_most("failed", high.failed as f64, 0.0),
    ];
    Ok(run.report("overload", measured.figures(), checks))
}

/// One workspace floods, another one asks within its share.
pub(super) async fn fairness(run: &Run) -> Result<ScenarioReport, BenchError> {
    let (large, small) = run.plan.deployment.workspaces();
    let flood = Arrivals::Closed {
        callers: FLOOD_CALLERS,
    };
    let flood = run.load(flood, run.requests(0)?.only(small));
    let others = run.requests(1)?.without(small).without(large);
    let others = others.with_normal_priority();
    let others = run.load(run.share_of_bound(WITHIN_SHARE), others);
    let (flood, others) = tokio::join!(run.measure(flood), run.measure(others));
    let served = others.figures();
    let mut records = flood.records;
    records.extend(others.records);
    let checks = vec![
        Check::at_least("within its share: share done", share_done(&served), 1.0),
        Check::at_most(
            "within its share: first token p95 ms",
            served.first_token_ms.p95,
            FIRST_TOKEN_MS,
        ),
    ];
    let all = Figures::new(records.iter(), others.from, others.to);
    Ok(run.report("fairness", all, checks))
}

/// Returns the tokens a second of answers that became whole.
fn goodput(measured: &Measured) -> f64 {
    let whole = measured.records.iter().filter(|r| r.end == RecordEnd::Done);
    rate(whole, measured.from, measured.to)
}

/// Returns the share of requests that were done.
fn share_done(figures: &Figures) -> f64 {
    let others = figures.refused() + figures.failed + figures.wrong;
    figures.done as f64 / (figures.done + others).max(1) as f64
}
