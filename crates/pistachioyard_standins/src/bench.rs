//! The bench: throughput against the bound, and the policy under load and faults.
//!
//! Each scenario runs a deployment of real processes of its own, sends a seeded
//! load to all entries, checks every token of every answer and compares what the
//! callers saw with the targets (`docs/bench.md`).

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

use self::report::{ScenarioReport, markdown};
use self::scenario::Scenario;
use crate::cluster::ClusterError;
use crate::deployment::Deployment;
use crate::{HttpClientError, LaunchError};

/// Settings of the bench.
#[derive(Clone, Debug, clap::Args)]
pub struct BenchArgs {
    /// The deployment to run; both where none is named.
    #[arg(long, value_enum)]
    deployment: Option<Deployment>,
    /// The scenarios to run; all where none is named.
    #[arg(long, value_delimiter = ',', value_enum)]
    scenario: Vec<Scenario>,
    /// The seed of arrivals, lengths and prompts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The time of each load, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// The load of `eighty`, as a share of the bound.
    #[arg(long, default_value_t = steady::EIGHTY)]
    share: f64,
    /// How entries choose chains.
    #[arg(long, value_enum, default_value_t)]
    choice: Choice,
    /// Writes the figures to a file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes a table to a file.
    #[arg(long)]
    markdown: Option<PathBuf>,
    /// Ends with exit code 1 when a target is missed.
    #[arg(long)]
    strict: bool,
}

/// How entries choose chains; all but the cost are baselines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
enum Choice {
    #[default]
    Cost,
    LeastReported,
    Random,
    RoundRobin,
}

impl Choice {
    /// Returns the choice as it stands in an entry's settings.
    fn as_str(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::LeastReported => "least_reported",
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
        }
    }
}

/// Why the bench could not measure.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The processes could not be run.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// A process could not be signalled.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// A process did not answer.
    #[error(transparent)]
    Http(#[from] HttpClientError),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] pistachioyard_wire::NameError),
    /// The operators' file cannot be read.
    #[error("the operators' file cannot be read")]
    Config(#[from] toml::de::Error),
    /// The load ended early.
    #[error("the load ended early")]
    Load(#[from] tokio::task::JoinError),
    /// No request shows what is to be measured.
    #[error("the load shows nothing to measure: {what}; ask for more seconds")]
    NothingSeen {
        /// What was looked for.
        what: &'static str,
    },
    /// The figures cannot be written as JSON.
    #[error("the figures cannot be written as JSON")]
    Json(#[from] serde_json::Error),
    /// A file cannot be written.
    #[error("{path} cannot be written; name a file in a directory that exists")]
    Write {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A target was missed and the bench is strict.
    #[error("{missed} of {ran} scenarios missed a target")]
    Missed {
        /// The scenarios that missed a target.
        missed: usize,
        /// The scenarios that ran.
        ran: usize,
    },
}

/// Runs the bench.
///
/// # Errors
///
/// Fails when a scenario cannot be run, a file cannot be written, or a target is
/// missed and the bench is strict.
pub async fn run_bench(args: BenchArgs) -> Result<(), BenchError> {
    let reports = run_scenarios(&args).await?;
    let text = markdown(&reports);
    println!("\n{text}");
    if let Some(path) = &args.json {
        write(path, &serde_json::to_string_pretty(&reports)?)?;
    }
    if let Some(path) = &args.markdown {
        write(path, &text)?;
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

fn write(path: &std::path::Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|source| BenchError::Write {
        path: path.display().to_string(),
        source,
    })
}
