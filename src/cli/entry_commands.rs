//! The commands of the `entry` daemon and of the operators' client, which calls it.

mod apply;
mod call;
mod entries;
mod file;
mod output;
mod platform_config;
mod report;
mod status;

use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};

use self::platform_config::Strictness;
use super::ExitStatus;
use crate::daemon::Daemon;
use crate::prelude::*;
use crate::settings::EntrySettings;

/// The commands that need the `entry` feature.
#[derive(Debug, Subcommand)]
pub(super) enum EntryCommand {
    /// Runs the daemon of an entry host: the /v1 API, which apply, status and others call.
    Entry {
        /// The settings file.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Validates a settings file, an operators' file or a configuration without changing anything.
    Check {
        /// The file to validate.
        file: PathBuf,
        /// The kind of the file.
        #[arg(long, value_enum, default_value_t = FileKind::Config)]
        kind: FileKind,
        /// Treats warnings as errors.
        #[arg(long)]
        strict: bool,
    },
    /// Applies an operators' file as a whole.
    Apply {
        /// The operators' file.
        file: PathBuf,
        /// The revision that the file is based on; the one in force by default.
        #[arg(long)]
        base: Option<u64>,
        #[command(flatten)]
        target: Target,
    },
    /// Shows how a file differs from the configuration in force.
    Diff {
        /// The operators' file or the configuration.
        file: PathBuf,
        /// The format of the files.
        #[arg(long, value_enum, default_value_t = ConfigFormat::Config)]
        kind: ConfigFormat,
        #[command(flatten)]
        base: DiffBase,
        /// The output format.
        #[arg(long, value_enum, default_value_t = Output::Table)]
        output: Output,
    },
    /// Shows where the configuration is in force.
    Status {
        #[command(flatten)]
        target: Target,
    },
    /// Shows which entries callers should use.
    Entries {
        /// The workspace whose entries are shown.
        #[arg(long)]
        workspace: Option<WorkspaceName>,
        #[command(flatten)]
        target: Target,
    },
    /// Reports what the entries have counted.
    #[command(subcommand)]
    Report(Report),
    /// Prints the OpenAPI document of an entry.
    Openapi,
}

/// The available reports.
#[derive(Debug, Subcommand)]
pub(super) enum Report {
    /// Shows the burn rates of the service levels and the error budgets that are left.
    Burn {
        /// Also writes the report as a chart to this SVG file.
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
        #[command(flatten)]
        target: Target,
    },
}

/// Says which entries to call and how to print the result.
#[derive(Args, Clone, Debug)]
pub(super) struct Target {
    /// The caller address of an entry. Repeat the flag to name further entries, which are
    /// called if the earlier ones fail.
    #[arg(long = "entry", value_name = "ADDRESS", required = true)]
    entries: Vec<std::net::SocketAddr>,
    /// The output format.
    #[arg(long, value_enum, default_value_t = Output::Table)]
    output: Output,
}

/// Says what a file is compared with.
#[derive(Args, Clone, Debug)]
#[group(required = true, multiple = false)]
pub(super) struct DiffBase {
    /// A file that holds the configuration in force.
    #[arg(long, value_name = "FILE")]
    in_force: Option<PathBuf>,
    /// The caller address of an entry. Repeat the flag to name further entries, which are
    /// called if the earlier ones fail.
    #[arg(long = "entry", value_name = "ADDRESS")]
    entries: Vec<std::net::SocketAddr>,
}

/// The formats of configurations.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(super) enum ConfigFormat {
    /// An operators' file, which configures all entries.
    Config,
    /// A configuration of the operators' platform, in JSON.
    Platform,
}

/// The output format of results.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(super) enum Output {
    /// A table for people.
    Table,
    /// JSON for programs.
    Json,
}

/// The kinds of files that can be validated.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub(super) enum FileKind {
    /// An operators' file, which configures all entries.
    Config,
    /// A configuration of the operators' platform, in JSON.
    Platform,
    /// The settings file of one entry.
    Settings,
}

/// Runs a command.
///
/// # Errors
///
/// Fails when the daemon cannot start, a file cannot be read or written, or no entry answers.
pub(super) fn run(command: EntryCommand, daemon: Option<Daemon>) -> eyre::Result<ExitStatus> {
    match command {
        EntryCommand::Entry { config } => {
            let daemon = daemon.map_or_else(Daemon::for_entry, Ok)?;
            let entry = crate::entry::run_entry(&config, daemon.signals);
            match daemon.runtime.block_on(entry) {
                Ok(()) => Ok(ExitStatus::Done),
                Err(errors) => Ok(output::print_errors(&errors)),
            }
        }
        EntryCommand::Check { file, kind, strict } => {
            let strictness = match strict {
                true => Strictness::Warnings,
                false => Strictness::Errors,
            };
            Ok(check(&file, kind, strictness))
        }
        EntryCommand::Apply { file, base, target } => {
            client_runtime()?.block_on(apply::apply(&file, base.map(Revision), &target))
        }
        EntryCommand::Diff {
            file,
            kind,
            base,
            output,
        } => match (kind, base.in_force) {
            (ConfigFormat::Platform, Some(in_force)) => {
                Ok(platform_config::diff(&file, &in_force, output))
            }
            (ConfigFormat::Platform, None) => {
                eprintln!(
                    "error: a configuration of the platform is compared with --in-force FILE"
                );
                Ok(ExitStatus::BadInput)
            }
            (ConfigFormat::Config, Some(in_force)) => apply::diff_files(&file, &in_force, output),
            (ConfigFormat::Config, None) => {
                client_runtime()?.block_on(apply::diff(&file, &base.entries, output))
            }
        },
        EntryCommand::Status { target } => client_runtime()?.block_on(status::status(&target)),
        EntryCommand::Entries { workspace, target } => {
            client_runtime()?.block_on(entries::entries(workspace.as_ref(), &target))
        }
        EntryCommand::Report(Report::Burn { svg, target }) => {
            client_runtime()?.block_on(report::burn(&target, svg.as_deref()))
        }
        EntryCommand::Openapi => {
            print!("{}", crate::api::openapi_document());
            Ok(ExitStatus::Done)
        }
    }
}

fn client_runtime() -> std::io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
}

fn check(file: &std::path::Path, kind: FileKind, strictness: Strictness) -> ExitStatus {
    match kind {
        FileKind::Settings => match EntrySettings::load(file) {
            Ok(_) => output::print_valid(file),
            Err(errors) => output::print_errors(&errors),
        },
        FileKind::Config => match file::read_text(file) {
            Ok(text) => match pistachioyard_wire::Config::parse(&text) {
                Ok(_) => output::print_valid(file),
                Err(errors) => output::print_errors(&errors),
            },
            Err(e) => output::print_errors(&[e]),
        },
        FileKind::Platform => platform_config::check(file, strictness),
    }
}
