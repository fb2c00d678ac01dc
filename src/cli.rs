//! The command-line interface of the daemon and the operators' client.

#[cfg(feature = "entry")]
mod entry_commands;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use pistachioyard_platform::{SETTINGS_FILE_VARIABLE, SettingsFile};

use crate::daemon::Daemon;
use crate::router::LoadControl;

/// Routes requests through model pipelines.
#[derive(Debug, Parser)]
#[command(version, about, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

const EXIT_CODES: &str = "Exit codes: 0 success, 1 failure, 2 invalid input, 3 conflict with \
                          another apply, 4 accepted but not yet in force everywhere, \
                          5 outcome unknown";

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the daemon on the operators' platform: an HTTP proxy from callers to endpoints.
    Route {
        /// The settings file; by default the one that the platform names in
        /// PISTACHIOYARD_NODE_FILE, or else /etc/pistachioyard/local.toml.
        #[arg(long, value_name = "FILE")]
        config: Option<PathBuf>,
        /// The decisions under load that are switched on.
        #[arg(long = "load-control", value_enum, value_delimiter = ',')]
        load_controls: Vec<LoadControl>,
    },
    #[cfg(feature = "entry")]
    #[command(flatten)]
    Entry(entry_commands::EntryCommand),
}

/// Says how a command ended; each variant has its own exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The command failed.
    Failed,
    /// The input is invalid; nothing was changed.
    BadInput,
    /// The base is not the last accepted revision, or the apply id was already used for another
    /// text; the file was not applied.
    Conflict,
    /// The file was accepted but is not yet in force everywhere.
    NotYetInForce,
    /// The platform did not answer, so whether the file was accepted is unknown.
    Undecided,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Done => 0,
            ExitStatus::Failed => 1,
            ExitStatus::BadInput => 2,
            ExitStatus::Conflict => 3,
            ExitStatus::NotYetInForce => 4,
            ExitStatus::Undecided => 5,
        })
    }
}

/// Runs a command, with what was prepared for a daemon.
///
/// # Errors
///
/// Fails when the daemon cannot start, a file cannot be read or written, or no entry answers.
pub fn run(cli: Cli, daemon: Option<Daemon>) -> eyre::Result<ExitStatus> {
    match cli.command {
        Command::Route {
            config,
            load_controls,
        } => {
            let daemon = daemon.map_or_else(Daemon::for_route, Ok)?;
            let file = SettingsFile::choose(config, std::env::var_os(SETTINGS_FILE_VARIABLE));
            let router =
                crate::router::run_router(&file, load_controls, daemon.signals, daemon.turns);
            daemon.runtime.block_on(router);
            Ok(ExitStatus::Done)
        }
        #[cfg(feature = "entry")]
        Command::Entry(command) => entry_commands::run(command, daemon),
    }
}
