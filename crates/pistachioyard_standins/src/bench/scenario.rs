//! The scenarios by name.

use clap::ValueEnum;

use super::report::ScenarioReport;
use super::run::{Run, RunPlan};
use super::{BenchError, chain_faults, idle, site_faults, steady};

/// What the bench can run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(super) enum Scenario {
    /// As many callers as every engine has places for.
    Saturation,
    /// The same while one worker in ten is restarted in turn.
    Restarts,
    /// Four fifths of the bound, by Poisson arrivals.
    Eighty,
    /// Twice the bound.
    Overload,
    /// One workspace floods, another one asks within its share.
    Fairness,
    /// A stage is killed.
    Kill,
    /// A stage freezes; another one is merely slow.
    Freeze,
    /// An entry is killed.
    EntryLoss,
    /// All engines of one data centre are killed at once.
    CentreLoss,
    /// One request at a time, through an entry and straight to an engine.
    Idle,
}

impl Scenario {
    /// Runs the scenario on a cluster of its own.
    pub(super) async fn run(self, plan: RunPlan) -> Result<ScenarioReport, BenchError> {
        let mut run = Run::start(plan).await?;
        match self {
            Self::Saturation => steady::saturation(&run).await,
            Self::Restarts => site_faults::restarts(&mut run).await,
            Self::Eighty => steady::eighty(&run).await,
            Self::Overload => steady::overload(&run).await,
            Self::Fairness => steady::fairness(&run).await,
            Self::Kill => chain_faults::kill(&mut run).await,
            Self::Freeze => chain_faults::freeze(&mut run).await,
            Self::EntryLoss => site_faults::entry_loss(&mut run).await,
            Self::CentreLoss => site_faults::centre_loss(&mut run).await,
            Self::Idle => idle::idle(&run).await,
        }
    }
}
