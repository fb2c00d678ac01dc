//! Measures what an idle entry costs as the fleet grows.
//!
//! Entry processes run against the platform stand-in. The numbers of entries,
//! endpoints and workspaces and the rate of configuration changes are varied one
//! at a time; what an entry spends is fitted by a line over each. The results are
//! the ground of `docs/CAPACITY.md`.

mod farm;
mod fit;
mod probe;

use std::time::{Duration, Instant};

use clap::ValueEnum;
use pistachioyard_wire::{EntryState, Revision};
use serde::Serialize;

use crate::cluster::{Cluster, ClusterError, ClusterPlan};
use crate::deployment::{ClusterSize, Deployment};
use crate::{LaunchError, ServeError, wait_until};
use farm::EndpointFarm;
use fit::{Slope, print_points, print_slopes, slopes_of};
use probe::{Cost, Reading};

/// How long a fleet may take to be up.
const READY_TIMEOUT: Duration = Duration::from_secs(90);
/// How long entries get to see each other, beyond which they are measured as they
/// are.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a change may take to be in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of the measurement.
#[derive(Clone, Debug, clap::Args)]
pub struct ScaleArgs {
    /// What to vary; everything where nothing is named.
    #[arg(long, value_enum, value_delimiter = ',')]
    vary: Vec<Dimension>,
    /// The numbers of entries.
    #[arg(long, value_delimiter = ',', default_values_t = [4, 8, 16, 32, 64])]
    entries: Vec<usize>,
    /// The numbers of endpoints in the host list.
    #[arg(long, value_delimiter = ',', default_values_t = [20, 40, 80, 160])]
    endpoints: Vec<usize>,
    /// The numbers of workspaces.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 160, 640])]
    workspaces: Vec<usize>,
    /// The numbers of configuration changes a minute.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 15, 60])]
    changes: Vec<usize>,
    /// How long each point is measured, in seconds.
    #[arg(long, default_value_t = 10)]
    window_s: u64,
    /// How long a fleet runs before it is measured, in seconds.
    #[arg(long, default_value_t = 5)]
    settle_s: u64,
    /// Prints one JSON document in place of tables.
    #[arg(long)]
    json: bool,
}

/// What is varied.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, ValueEnum)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Dimension {
    /// The entries, each with gossip.
    Entries,
    /// The endpoints of the host list.
    Endpoints,
    /// The workspaces of the operators' file.
    Workspaces,
    /// The configuration changes a minute.
    Changes,
}

/// The size of one measured fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct FleetSize {
    entries: usize,
    endpoints: usize,
    workspaces: usize,
    changes_per_minute: usize,
}

/// The fleet that is changed in one dimension at a time.
const BASE: FleetSize = FleetSize {
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

/// One fleet and what an entry of it cost on average.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Point {
    pub(crate) vary: Dimension,
    pub(crate) size: FleetSize,
    pub(crate) cost: Cost,
}

#[derive(Debug, Serialize)]
struct ScaleReport {
    window_s: u64,
    points: Vec<Point>,
    slopes: Vec<Slope>,
}

/// Why the measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// A fleet could not be run.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// An address or a condition was not to be had.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// An endpoint could not be served.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] pistachioyard_wire::NameError),
    /// A process did not answer.
    #[error(transparent)]
    Http(#[from] crate::HttpClientError),
    /// The system's figures of a process cannot be read.
    #[error("the figures of process {id} cannot be read; it has ended")]
    Process {
        /// The process's id.
        id: u32,
    },
    /// The report cannot be written.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Runs the measurement and prints its points and slopes.
///
/// # Errors
///
/// Fails when a fleet cannot be run or read.
pub async fn run_scale(args: ScaleArgs) -> Result<(), ScaleError> {
    let most = args.endpoints.iter().copied().max().unwrap_or(0);
    let farm = EndpointFarm::start(most.max(BASE.endpoints)).await?;
    let mut points = Vec::new();
    for dimension in Dimension::value_variants() {
        if !args.vary.is_empty() && !args.vary.contains(dimension) {
            continue;
        }
        for value in values(&args, *dimension) {
            let size = BASE.with(*dimension, *value);
            let cost = measure(&args, size, &farm).await?;
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

fn values(args: &ScaleArgs, dimension: Dimension) -> &[usize] {
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
    farm: &EndpointFarm,
) -> Result<Cost, ScaleError> {
    let mut plan = ClusterPlan::new(Deployment::Obnova, ClusterSize::Small);
    plan.engines.clear();
    plan.services = 0;
    plan.entries = size.entries;
    let mut cluster = Cluster::start_without_config(plan).await?;
    cluster.hosts = farm.hosts(size.endpoints);
    cluster.put_hosts().await?;
    let text = config_text(size.workspaces, 0);
    let revision = cluster.apply(0, Revision(0), text).await?;
    wait_up(&cluster, size).await?;
    tokio::time::sleep(Duration::from_secs(args.settle_s)).await;
    let before = Reading::take(&cluster).await?;
    let window = Duration::from_secs(args.window_s);
    let slowest = change_config(&cluster, size, revision, window).await?;
    let after = Reading::take(&cluster).await?;
    let live = least_live_seen(&cluster).await?;
    Ok(after.since(&before, live, slowest))
}

/// Waits until every entry serves, and for a while for all to see each other.
async fn wait_up(cluster: &Cluster, size: FleetSize) -> Result<(), ScaleError> {
    for entry in &cluster.entries {
        let what = format!("{} to see the endpoints", entry.name);
        wait_until(READY_TIMEOUT, &what, || async {
            cluster.status(entry.caller).await.is_ok_and(|status| {
                status.ready && status.usable_endpoints as usize == size.endpoints
            })
        })
        .await?;
    }
    // Entries that do not find each other are a result, not a failure.
    let _ = wait_until(MEMBERS_TIMEOUT, "all entries to see each other", || async {
        least_live_seen(cluster)
            .await
            .is_ok_and(|live| live == size.entries)
    })
    .await;
    Ok(())
}

/// Returns the lowest number of live entries that any entry sees.
async fn least_live_seen(cluster: &Cluster) -> Result<usize, ScaleError> {
    let mut least = usize::MAX;
    for entry in &cluster.entries {
        let status = cluster.status(entry.caller).await?;
        let live = status.entries.iter();
        least = least.min(live.filter(|e| e.state == EntryState::Live).count());
    }
    Ok(least)
}

/// Lets the window pass, with changes spread evenly over it; returns the longest
/// time that a change took to be in force at every entry.
async fn change_config(
    cluster: &Cluster,
    size: FleetSize,
    mut revision: Revision,
    window: Duration,
) -> Result<Option<Duration>, ScaleError> {
    let end = Instant::now() + window;
    let mut slowest = None;
    if size.changes_per_minute > 0 {
        let pause = Duration::from_secs(60) / size.changes_per_minute as u32;
        let mut next = Instant::now();
        while next < end {
            tokio::time::sleep_until(next.into()).await;
            let text = config_text(size.workspaces, revision.0 + 1);
            let asked_at = Instant::now();
            revision = cluster.apply(0, revision, text).await?;
            wait_in_force(cluster, revision).await?;
            slowest = slowest.max(Some(asked_at.elapsed()));
            next += pause;
        }
    }
    tokio::time::sleep_until(end.into()).await;
    Ok(slowest)
}

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

/// Writes an operators' file with a number of workspaces.
fn config_text(workspaces: usize, change: u64) -> String {
    let mut text = format!(
        "# change {change}\n[models.{}]\nlayers = 48\nversion = \"{}\"\n",
        farm::MODEL,
        farm::VERSION
    );
    for place in 0..workspaces {
        text.push_str(&format!(
            "\n[workspaces.workspace-{place}]\nweight = 1\nmax_in_flight = 16\n\
             models = [\"{}\"]\n",
            farm::MODEL
        ));
    }
    text
}
