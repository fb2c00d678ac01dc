//! Reports of scenarios, printed as text or as a Markdown table and serialised as JSON.

use std::fmt::Write;

use serde::Serialize;

use super::figures::Figures;

/// Selects whether a limit is a minimum or a maximum.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum Side {
    AtLeast,
    AtMost,
}

/// Compares a measured value with its target.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Check {
    pub(super) what: String,
    pub(super) value: f64,
    pub(super) side: Side,
    pub(super) limit: f64,
    pub(super) is_met: bool,
}

impl Check {
    /// Creates a check that a value is not below a limit.
    pub(super) fn at_least(what: impl Into<String>, value: f64, limit: f64) -> Self {
        Self {
            what: what.into(),
            value,
            side: Side::AtLeast,
            limit,
            is_met: value >= limit,
        }
    }

    /// Creates a check that a value is not above a limit.
    pub(super) fn at_most(what: impl Into<String>, value: f64, limit: f64) -> Self {
        Self {
            what: what.into(),
            value,
            side: Side::AtMost,
            limit,
            is_met: value <= limit,
        }
    }

    fn render(&self) -> String {
        let verdict = if self.is_met { "pass" } else { "MISS" };
        let sign = match self.side {
            Side::AtLeast => ">=",
            Side::AtMost => "<=",
        };
        format!(
            "{verdict}: {} {:.3} ({sign} {})",
            self.what, self.value, self.limit
        )
    }
}

/// Holds the figures and checks of one scenario.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ScenarioReport {
    pub(super) deployment: &'static str,
    pub(super) scenario: &'static str,
    pub(super) seed: u64,
    pub(super) choice: &'static str,
    /// The upper bound on throughput, in tokens per second.
    pub(super) bound: f64,
    /// The throughput as a fraction of the bound.
    pub(super) ratio: f64,
    pub(super) figures: Figures,
    pub(super) checks: Vec<Check>,
}

impl ScenarioReport {
    /// Returns whether every target was met.
    pub(super) fn is_met(&self) -> bool {
        self.checks.iter().all(|check| check.is_met)
    }

    /// Prints the figures and the checks.
    pub(super) fn print(&self) {
        let f = &self.figures;
        println!(
            "{} {} (seed {}, choice {})",
            self.deployment, self.scenario, self.seed, self.choice
        );
        println!(
            "  {:.0} tokens/s of a bound of {:.0}, ratio {:.3}",
            f.tokens_per_second, self.bound, self.ratio
        );
        println!(
            "  first token ms {:?}; between tokens ms {:?}",
            f.first_token_ms, f.between_tokens_ms
        );
        println!(
            "  done {}, not run {:?}, failed {:?}, wrong {}, moved {}",
            f.done, f.not_run, f.failed_kinds, f.wrong, f.moved
        );
        for check in &self.checks {
            println!("  {}", check.render());
        }
    }
}

/// Renders reports as a Markdown table.
pub(super) fn render_markdown(reports: &[ScenarioReport]) -> String {
    let mut text = String::from(
        "| deployment | scenario | tokens/s | bound | ratio | first token p50/p95/p99 ms \
         | between tokens p50/p95/p99 ms | done | not run | failed | wrong | targets |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for report in reports {
        let f = &report.figures;
        let (first, between) = (f.first_token_ms, f.between_tokens_ms);
        let checks: Vec<String> = report.checks.iter().map(Check::render).collect();
        let _ = writeln!(
            text,
            "| {} | {} | {:.0} | {:.0} | {:.3} | {:.0}/{:.0}/{:.0} | {:.1}/{:.1}/{:.1} \
             | {} | {} | {} | {} | {} |",
            report.deployment,
            report.scenario,
            f.tokens_per_second,
            report.bound,
            report.ratio,
            first.p50,
            first.p95,
            first.p99,
            between.p50,
            between.p95,
            between.p99,
            f.done,
            f.refused(),
            f.failed,
            f.wrong,
            checks.join("; "),
        );
    }
    text
}
