//! The bench: measures throughput relative to its upper bound, and behaviour under load
//! and faults.
//!
//! Each scenario starts its own deployment of real processes, sends a seeded load to all
//! entries, checks every token of every answer and compares the callers' measurements
//! with the targets (`docs/bench.md`).

mod bound;
mod chain_faults;
mod figures;
mod idle;
mod load;
mod record;
mod report;
mod requests;
mod run;
mod scenario;
mod site_faults;
mod steady;

use std::path::PathBuf;
use std::time::Duration;

use clap::ValueEnum;

use self::report::{ScenarioReport, render_markdown};
use self::scenario::Scenario;
use crate::cluster::ClusterError;
use crate::deployment::Deployment;
use crate::{HttpClientError, LaunchError};

/// Holds the arguments of the bench.
#[derive(Clone, Debug, clap::Args)]
pub struct BenchArgs {
    /// The deployment to run (default: both).
    #[arg(long, value_enum)]
    deployment: Option<Deployment>,
    /// The scenarios to run, separated by commas (default: all).
    #[arg(long, value_delimiter = ',', value_enum)]
    scenario: Vec<Scenario>,
    /// The seed for arrival times, answer lengths and prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The duration of each load, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// The load of the `eighty` scenario, as a fraction of the throughput bound.
    #[arg(long, default_value_t = steady::DEFAULT_OPEN_LOOP_LOAD)]
    share: f64,
    /// The policy by which entries choose chains.
    #[arg(long, value_enum, default_value_t)]
    choice: ChoicePolicy,
    /// Writes the reports as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes the reports as a Markdown table to this file.
    #[arg(long)]
    markdown: Option<PathBuf>,
    /// Exits with code 1 if a target is missed.
    #[arg(long)]
    strict: bool,
}

/// Selects how entries choose chains; all policies except `Cost` are baselines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
enum ChoicePolicy {
    #[default]
    Cost,
    LeastReported,
    Random,
    RoundRobin,
}

impl ChoicePolicy {
    /// Returns the value of the `choice` key in an entry's settings.
    fn as_str(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::LeastReported => "least_reported",
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
        }
    }
}

/// Reports why the bench failed.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The cluster could not be started or called.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A process could not be signalled or started.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// An HTTP request to a process failed.
    #[error(transparent)]
    Http(#[from] HttpClientError),
    /// A model, version or workspace name is invalid.
    #[error(transparent)]
    Name(#[from] pistachioyard_wire::NameError),
    /// The operators' file of a deployment is not valid TOML.
    #[error("the operators' file of the deployment cannot be parsed")]
    Config(#[from] toml::de::Error),
    /// The task that runs the load panicked or was cancelled.
    #[error("the task that runs the load ended early")]
    Load(#[from] tokio::task::JoinError),
    /// The load produced no samples of what the scenario measures.
    #[error("the load produced nothing to measure: {reason}; increase --seconds")]
    NoSamples {
        /// The reason for the lack of samples.
        reason: &'static str,
    },
    /// JSON could not be written or parsed.
    #[error("JSON cannot be written or parsed")]
    Json(#[from] serde_json::Error),
    /// An output file cannot be written.
    #[error("cannot write '{path}'; its directory must exist and be writable")]
    Write {
        /// The path of the file.
        path: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A target was missed in strict mode.
    #[error("{missed} of {ran} scenarios missed a target")]
    Missed {
        /// The number of scenarios that missed a target.
        missed: usize,
        /// The number of scenarios that ran.
        ran: usize,
    },
}

/// Runs the selected scenarios and prints their reports.
///
/// # Errors
///
/// Fails when a scenario cannot be run, a file cannot be written, or a target
/// is missed in strict mode.
pub async fn run_bench(args: BenchArgs) -> Result<(), BenchError> {
    let reports = run_scenarios(&args).await?;
    let text = render_markdown(&reports);
    println!("\n{text}");
    if let Some(path) = &args.json {
        write_file(path, &serde_json::to_string_pretty(&reports)?)?;
    }
    if let Some(path) = &args.markdown {
        write_file(path, &text)?;
    }
    let ran = reports.len();
    let missed = reports.iter().filter(|report| !report.is_met()).count();
    match missed {
        0 => Ok(()),
        _ if !args.strict => Ok(()),
        _ => Err(BenchError::Missed { missed, ran }),
    }
}

async fn run_scenarios(args: &BenchArgs) -> Result<Vec<ScenarioReport>, BenchError> {
    let scenarios = match args.scenario.is_empty() {
        true => Scenario::value_variants().to_vec(),
        false => args.scenario.clone(),
    };
    let mut reports = Vec::new();
    for deployment in Deployment::ALL {
        if args.deployment.is_some_and(|only| only != deployment) {
            continue;
        }
        for scenario in &scenarios {
            let plan = run::RunPlan {
                deployment,
                seed: args.seed,
                duration: Duration::from_secs(args.seconds),
                share: args.share,
                choice: args.choice,
            };
            let report = scenario.run(plan).await?;
            report.print();
            reports.push(report);
        }
    }
    Ok(reports)
}

fn write_file(path: &std::path::Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|source| BenchError::Write {
        path: path.display().to_string(),
        source,
    })
}
