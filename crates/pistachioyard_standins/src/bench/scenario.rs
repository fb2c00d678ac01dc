//! The scenarios that the bench can run.

use clap::ValueEnum;

use super::report::ScenarioReport;
use super::run::{Run, RunPlan};
use super::{BenchError, chain_faults, idle, site_faults, steady};

/// Selects a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(super) enum Scenario {
    /// A closed loop that keeps all slots of the chains' first engines occupied.
    Saturation,
    /// Saturation while one engine in ten is restarted, one after another.
    Restarts,
    /// Poisson arrivals at 80% of the throughput bound, or at `--share`.
    Eighty,
    /// Poisson arrivals at twice the throughput bound.
    Overload,
    /// One workspace floods the entries with requests while others stay within their share.
    Fairness,
    /// A stage is killed under saturation.
    Kill,
    /// A stage is frozen and resumed; then another one is slowed down.
    Freeze,
    /// An entry is killed under load.
    EntryLoss,
    /// All engines of one data centre are killed at once.
    CentreLoss,
    /// One request at a time, through an entry and directly to an engine.
    Idle,
}

impl Scenario {
    /// Runs the scenario on its own cluster.
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
