//! Measures the resource usage of an idle entry as the fleet grows.
//!
//! Entry processes run against the platform stand-in. The numbers of entries, endpoints
//! and workspaces and the rate of configuration changes are varied one at a time. For
//! each of them, a line is fitted to the usage per entry. `docs/CAPACITY.md` is based on
//! the results.

mod fit;
mod stub_endpoints;
mod usage;

use std::time::{Duration, Instant};

use clap::ValueEnum;
use pistachioyard_wire::{EntryState, Revision};
use serde::Serialize;

use crate::cluster::{Cluster, ClusterError, ClusterPlan};
use crate::deployment::{ClusterSize, Deployment};
use crate::{LaunchError, ServeError, wait_until};
use fit::{Slope, print_points, print_slopes, slopes_of};
use stub_endpoints::StubEndpoints;
use usage::{Cost, UsageSample};

/// The maximum time for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
/// The time that entries have to discover each other; after it, the fleet is measured
/// even if some have not.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum time for a configuration change to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Holds the arguments of the measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct ScaleArgs {
    /// The dimensions to vary, separated by commas (default: all).
    #[arg(long, value_enum, value_delimiter = ',')]
    vary: Vec<Dimension>,
    /// The numbers of entries to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 8, 16, 32, 64])]
    entries: Vec<usize>,
    /// The numbers of endpoints in the host list to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [20, 40, 80, 160])]
    endpoints: Vec<usize>,
    /// The numbers of workspaces to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 160, 640])]
    workspaces: Vec<usize>,
    /// The numbers of configuration changes per minute to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 15, 60])]
    changes: Vec<usize>,
    /// The duration of the measurement of each point, in seconds.
    #[arg(long, default_value_t = 10)]
    window_s: u64,
    /// The time that a fleet runs before it is measured, in seconds.
    #[arg(long, default_value_t = 5)]
    settle_s: u64,
    /// Prints one JSON document instead of tables.
    #[arg(long)]
    json: bool,
}

/// Selects the dimension of the fleet that is varied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Dimension {
    /// The number of entries, which gossip with each other.
    Entries,
    /// The number of endpoints in the host list.
    Endpoints,
    /// The number of workspaces in the operators' file.
    Workspaces,
    /// The number of configuration changes per minute.
    Changes,
}

/// Holds the size of a fleet: the value of each dimension.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct FleetSize {
    entries: usize,
    endpoints: usize,
    workspaces: usize,
    changes_per_minute: usize,
}

/// The fleet size from which one dimension at a time is varied.
const BASELINE: FleetSize = FleetSize {
    entries: 8,
    endpoints: 20,
    workspaces: 10,
    changes_per_minute: 0,
};

impl FleetSize {
    fn with(mut self, dimension: Dimension, value: usize) -> Self {
        match dimension {
            Dimension::Entries => self.entries = value,
            Dimension::Endpoints => self.endpoints = value,
            Dimension::Workspaces => self.workspaces = value,
            Dimension::Changes => self.changes_per_minute = value,
        }
        self
    }

    pub(crate) fn value(self, dimension: Dimension) -> usize {
        match dimension {
            Dimension::Entries => self.entries,
            Dimension::Endpoints => self.endpoints,
            Dimension::Workspaces => self.workspaces,
            Dimension::Changes => self.changes_per_minute,
        }
    }
}

/// Holds the size of a fleet and the average cost of one of its entries.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    pub(crate) vary: Dimension,
    pub(crate) size: FleetSize,
    pub(crate) cost: Cost,
}

/// Holds the JSON report.
#[derive(Debug, Serialize)]
struct ScaleReport {
    window_s: u64,
    points: Vec<Point>,
    slopes: Vec<Slope>,
}

/// Reports why the measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A fleet could not be started or called.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// No address was available, or a condition was not met in time.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// A stub endpoint could not be served.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] pistachioyard_wire::NameError),
    /// An HTTP request to a process failed.
    #[error(transparent)]
    Http(#[from] crate::HttpClientError),
    /// The resource usage of a process cannot be read from `/proc`.
    #[error("cannot read the resource usage of process {id} from /proc; it may have ended")]
    Process {
        /// The process ID.
        id: u32,
    },
    /// The report cannot be serialised.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs the measurement and prints the points and slopes.
///
/// # Errors
///
/// Fails when a fleet cannot be run or measured.
pub async fn run_scale(args: ScaleArgs) -> Result<(), ScaleError> {
    let max_endpoints = args.endpoints.iter().copied().max().unwrap_or(0);
    let stubs = StubEndpoints::start(max_endpoints.max(BASELINE.endpoints)).await?;
    let mut points = Vec::new();
    for dimension in Dimension::value_variants() {
        if !args.vary.is_empty() && !args.vary.contains(dimension) {
            continue;
        }
        for value in values_for(&args, *dimension) {
            let size = BASELINE.with(*dimension, *value);
            let cost = measure(&args, size, &stubs).await?;
            let point = Point {
                vary: *dimension,
                size,
                cost,
            };
            eprintln!("scale: measured {size:?}");
            points.push(point);
        }
    }
    let slopes = slopes_of(&points);
    if args.json {
        let report = ScaleReport {
            window_s: args.window_s,
            points,
            slopes,
        };
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_points(&points);
        print_slopes(&slopes);
    }
    Ok(())
}

fn values_for(args: &ScaleArgs, dimension: Dimension) -> &[usize] {
    match dimension {
        Dimension::Entries => &args.entries,
        Dimension::Endpoints => &args.endpoints,
        Dimension::Workspaces => &args.workspaces,
        Dimension::Changes => &args.changes,
    }
}

/// Runs one fleet and measures it over the window.
async fn measure(
    args: &ScaleArgs,
    size: FleetSize,
    stubs: &StubEndpoints,
) -> Result<Cost, ScaleError> {
    let mut plan = ClusterPlan::new(Deployment::Obnova, ClusterSize::Small);
    plan.engines.clear();
    plan.services = 0;
    plan.entries = size.entries;
    let mut cluster = Cluster::start_without_config(plan).await?;
    cluster.hosts = stubs.hosts(size.endpoints);
    cluster.put_hosts().await?;
    let text = config_text(size.workspaces, 0);
    let revision = cluster.apply(0, Revision(0), text).await?;
    wait_until_fleet_ready(&cluster, size).await?;
    tokio::time::sleep(Duration::from_secs(args.settle_s)).await;
    let before = UsageSample::read(&cluster).await?;
    let window = Duration::from_secs(args.window_s);
    let slowest = apply_changes_over_window(&cluster, size, revision, window).await?;
    let after = UsageSample::read(&cluster).await?;
    let live = least_live_seen(&cluster).await?;
    Ok(after.cost_since(&before, live, slowest))
}

/// Waits until every entry is ready and, for at most [`MEMBERSHIP_TIMEOUT`], until all
/// have discovered each other.
async fn wait_until_fleet_ready(cluster: &Cluster, size: FleetSize) -> Result<(), ScaleError> {
    for entry in &cluster.entries {
        let what = format!("{} to be ready with all endpoints usable", entry.name);
        wait_until(READY_TIMEOUT, &what, || async {
            cluster.status(entry.caller).await.is_ok_and(|status| {
                status.ready && status.usable_endpoints as usize == size.endpoints
            })
        })
        .await?;
    }
    // Incomplete membership is reported by `least_live_seen`; it is not an error.
    let _ = wait_until(
        MEMBERSHIP_TIMEOUT,
        "all entries to see each other",
        || async {
            least_live_seen(cluster)
                .await
                .is_ok_and(|live| live == size.entries)
        },
    )
    .await;
    Ok(())
}

/// Returns the minimum, over all entries, of the number of live entries that an entry sees.
async fn least_live_seen(cluster: &Cluster) -> Result<usize, ScaleError> {
    let mut least = usize::MAX;
    for entry in &cluster.entries {
        let status = cluster.status(entry.caller).await?;
        let live = status.entries.iter();
        least = least.min(live.filter(|e| e.state == EntryState::Live).count());
    }
    Ok(least)
}

/// Waits for the measurement window to pass and applies configuration changes evenly
/// spread over it. Returns the longest time that a change took to be in force at all
/// entries, or `None` without changes.
async fn apply_changes_over_window(
    cluster: &Cluster,
    size: FleetSize,
    mut revision: Revision,
    window: Duration,
) -> Result<Option<Duration>, ScaleError> {
    let end = Instant::now() + window;
    let mut slowest = None;
    if size.changes_per_minute > 0 {
        let interval = Duration::from_secs(60) / size.changes_per_minute as u32;
        let mut next = Instant::now();
        while next < end {
            tokio::time::sleep_until(next.into()).await;
            let text = config_text(size.workspaces, revision.0 + 1);
            let applied_at = Instant::now();
            revision = cluster.apply(0, revision, text).await?;
            wait_in_force(cluster, revision).await?;
            slowest = slowest.max(Some(applied_at.elapsed()));
            next += interval;
        }
    }
    tokio::time::sleep_until(end.into()).await;
    Ok(slowest)
}

/// Waits until a configuration revision is in force at all entries.
async fn wait_in_force(cluster: &Cluster, revision: Revision) -> Result<(), ScaleError> {
    for entry in &cluster.entries {
        wait_until(IN_FORCE_TIMEOUT, "a change to be in force", || async {
            let status = cluster.status(entry.caller).await;
            status.is_ok_and(|status| status.revision >= revision)
        })
        .await?;
    }
    Ok(())
}

/// Returns an operators' file with a number of workspaces; `change` makes each text differ.
fn config_text(workspaces: usize, change: u64) -> String {
    let mut text = format!(
        "# change {change}\n[models.{}]\nlayers = 48\nversion = \"{}\"\n",
        stub_endpoints::MODEL,
        stub_endpoints::VERSION
    );
    for index in 0..workspaces {
        text.push_str(&format!(
            "\n[workspaces.workspace-{index}]\nweight = 1\nmax_in_flight = 16\n\
             models = [\"{}\"]\n",
            stub_endpoints::MODEL
        ));
    }
    text
}
