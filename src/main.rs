//! The `pistachioyard` program: the router daemon and the operators' client.

use clap::Parser;
use pistachioyard::{Cli, Daemon, ExitStatus, StoppedEarly};

fn main() -> eyre::Result<std::process::ExitCode> {
    let status = match run() {
        Err(e) if e.is::<StoppedEarly>() => ExitStatus::Done,
        ran => ran?,
    };
    Ok(status.into())
}

fn run() -> eyre::Result<ExitStatus> {
    let daemon = Daemon::prepare(std::env::args_os().nth(1).as_deref())?;
    pistachioyard::run(Cli::parse(), daemon)
}
