//! One run of one scenario: its cluster, its loads and its report.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointReport;

use super::bound::{bound_of, read_reports, stream_places};
use super::figures::Figures;
use super::load::{Arrivals, Load};
use super::record::Record;
use super::report::{Check, ScenarioReport};
use super::requests::RequestMaker;
use super::{BenchError, Choice};
use crate::cluster::{Cluster, ClusterPlan};
use crate::deployment::{ClusterSize, Deployment};

/// The time until a load is steady; nothing before it counts.
const WARM_UP: Duration = Duration::from_secs(3);
/// The callers of a saturating load for each place of a stream.
const CALLERS_PER_PLACE: f64 = 1.25;

/// What a run is asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunPlan {
    pub(super) deployment: Deployment,
    pub(super) seed: u64,
    pub(super) duration: Duration,
    /// The load of `eighty`, as a share of the bound.
    pub(super) share: f64,
    pub(super) choice: Choice,
}

/// A running cluster with its bound.
pub(super) struct Run {
    pub(super) plan: RunPlan,
    pub(super) cluster: Cluster,
    pub(super) bound: f64,
    pub(super) reports: Vec<EndpointReport>,
}

/// The records of a load and the stretch of time that counts.
pub(super) struct Measured {
    pub(super) records: Vec<Record>,
    pub(super) from: Instant,
    pub(super) to: Instant,
}

impl Measured {
    /// Reckons up all records.
    pub(super) fn figures(&self) -> Figures {
        Figures::new(self.records.iter(), self.from, self.to)
    }
}

impl Run {
    /// Starts the cluster and reads the bound.
    pub(super) async fn start(plan: RunPlan) -> Result<Self, BenchError> {
        let mut cluster_plan = ClusterPlan::new(plan.deployment, ClusterSize::Full);
        if plan.choice != Choice::default() {
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

    /// Makes requests of all workspaces; `part` tells the loads of a run apart.
    pub(super) fn requests(&self, part: u64) -> Result<RequestMaker, BenchError> {
        RequestMaker::new(self.plan.deployment, self.plan.seed ^ (part << 32))
    }

    /// Makes a load of the run's time.
    pub(super) fn load(&self, arrivals: Arrivals, requests: RequestMaker) -> Load {
        Load {
            deployment: self.plan.deployment,
            entries: self.entries(),
            arrivals,
            requests,
            duration: self.plan.duration,
        }
    }

    /// Returns arrivals that keep every place of a stream taken.
    pub(super) fn saturating(&self) -> Arrivals {
        let places = stream_places(&self.reports) as f64;
        Arrivals::Closed {
            callers: (places * CALLERS_PER_PLACE) as usize,
        }
    }

    /// Returns arrivals that ask for a share of the bound.
    pub(super) fn share_of_bound(&self, share: f64) -> Arrivals {
        Arrivals::Open {
            per_second: share * self.bound / RequestMaker::mean_tokens(),
        }
    }

    /// Runs a load on its own.
    pub(super) async fn measure(&self, load: Load) -> Measured {
        let from = Instant::now() + WARM_UP;
        let to = Instant::now() + load.duration;
        let records = load.run().await;
        Measured { records, from, to }
    }

    /// Runs a load beside what `disturb` does; it begins after the warm-up.
    pub(super) async fn measure_disturbed<T>(
        &mut self,
        load: Load,
        disturb: impl AsyncFnOnce(&mut Self) -> Result<T, BenchError>,
    ) -> Result<(Measured, T), BenchError> {
        let from = Instant::now() + WARM_UP;
        let to = Instant::now() + load.duration;
        let running = tokio::spawn(load.run());
        tokio::time::sleep(WARM_UP).await;
        let disturbed = disturb(self).await?;
        let records = running.await?;
        Ok((Measured { records, from, to }, disturbed))
    }

    /// Makes the report; no answer may be wrong in any scenario.
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
