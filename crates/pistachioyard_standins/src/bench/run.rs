//! One run of a scenario: its cluster, loads and report.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointReport;

use super::bound::{bound_of, head_slots, read_reports};
use super::figures::Figures;
use super::load::{Arrivals, Load};
use super::record::Record;
use super::report::{Check, ScenarioReport};
use super::requests::RequestGenerator;
use super::{BenchError, ChoicePolicy};
use crate::cluster::{Cluster, ClusterPlan};
use crate::deployment::{ClusterSize, Deployment};

/// The warm-up at the start of a load, which is excluded from rates and latencies.
const WARM_UP: Duration = Duration::from_secs(3);
/// The number of callers of a saturating load, per slot of the chains' first engines.
const CALLERS_PER_SLOT: f64 = 1.25;

/// Holds the parameters of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunPlan {
    pub(super) deployment: Deployment,
    pub(super) seed: u64,
    pub(super) duration: Duration,
    /// The load of the `eighty` scenario, as a fraction of the throughput bound.
    pub(super) share: f64,
    pub(super) choice: ChoicePolicy,
}

/// Holds a running cluster and its throughput bound.
pub(super) struct Run {
    pub(super) plan: RunPlan,
    pub(super) cluster: Cluster,
    pub(super) bound: f64,
    pub(super) reports: Vec<EndpointReport>,
}

/// Holds the records of a load and the interval that rates and latencies cover.
pub(super) struct Measurement {
    pub(super) records: Vec<Record>,
    pub(super) from: Instant,
    pub(super) to: Instant,
}

impl Measurement {
    /// Summarises all records.
    pub(super) fn figures(&self) -> Figures {
        Figures::new(self.records.iter(), self.from, self.to)
    }
}

impl Run {
    /// Starts the cluster and computes its throughput bound.
    pub(super) async fn start(plan: RunPlan) -> Result<Self, BenchError> {
        let mut cluster_plan = ClusterPlan::new(plan.deployment, ClusterSize::Full);
        if plan.choice != ChoicePolicy::default() {
            cluster_plan.entry_settings = format!("choice = \"{}\"\n", plan.choice.as_str());
        }
        let cluster = Cluster::start(cluster_plan).await?;
        let reports = read_reports(&cluster).await;
        let bound = bound_of(&cluster, &reports)?;
        Ok(Self {
            plan,
            cluster,
            bound,
            reports,
        })
    }

    /// Returns the caller addresses of all entries.
    pub(super) fn entries(&self) -> Vec<SocketAddr> {
        let entries = self.cluster.entries.iter();
        entries.map(|entry| entry.caller).collect()
    }

    /// Creates a request generator for all workspaces; `load_id` gives each load of a run
    /// its own random sequence.
    pub(super) fn requests(&self, load_id: u64) -> Result<RequestGenerator, BenchError> {
        RequestGenerator::new(self.plan.deployment, self.plan.seed ^ (load_id << 32))
    }

    /// Creates a load with the duration of the run.
    pub(super) fn load(&self, arrivals: Arrivals, requests: RequestGenerator) -> Load {
        Load {
            deployment: self.plan.deployment,
            entries: self.entries(),
            arrivals,
            requests,
            duration: self.plan.duration,
        }
    }

    /// Returns a closed loop with more callers than the chains' first engines have slots.
    pub(super) fn saturating_arrivals(&self) -> Arrivals {
        let slots = head_slots(&self.reports) as f64;
        Arrivals::Closed {
            callers: (slots * CALLERS_PER_SLOT) as usize,
        }
    }

    /// Returns an open loop that requests a fraction of the throughput bound.
    pub(super) fn open_loop_at(&self, fraction: f64) -> Arrivals {
        Arrivals::Open {
            per_second: fraction * self.bound / RequestGenerator::mean_tokens(),
        }
    }

    /// Runs a load without faults.
    pub(super) async fn measure(&self, load: Load) -> Measurement {
        let from = Instant::now() + WARM_UP;
        let to = Instant::now() + load.duration;
        let records = load.run().await;
        Measurement { records, from, to }
    }

    /// Runs a load and calls `inject_fault` after the warm-up.
    pub(super) async fn measure_with_fault<T>(
        &mut self,
        load: Load,
        inject_fault: impl AsyncFnOnce(&mut Self) -> Result<T, BenchError>,
    ) -> Result<(Measurement, T), BenchError> {
        let from = Instant::now() + WARM_UP;
        let to = Instant::now() + load.duration;
        let running = tokio::spawn(load.run());
        tokio::time::sleep(WARM_UP).await;
        let fault_result = inject_fault(self).await?;
        let records = running.await?;
        Ok((Measurement { records, from, to }, fault_result))
    }

    /// Builds the report and adds the check, common to all scenarios, that no answer is wrong.
    pub(super) fn report(
        &self,
        scenario: &'static str,
        figures: Figures,
        mut checks: Vec<Check>,
    ) -> ScenarioReport {
        checks.push(Check::at_most("wrong answers", figures.wrong as f64, 0.0));
        ScenarioReport {
            deployment: self.plan.deployment.name(),
            scenario,
            seed: self.plan.seed,
            choice: self.plan.choice.as_str(),
            bound: self.bound,
            ratio: figures.tokens_per_second / self.bound,
            figures,
            checks,
        }
    }
}
