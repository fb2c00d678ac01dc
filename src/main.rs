//! The `pistachioyard` program: the router daemon and the operators' client.

use clap::Parser;
use pistachioyard::{Cli, Daemon};

fn main() -> eyre::Result<std::process::ExitCode> {
    let daemon = Daemon::prepare(std::env::args_os().nth(1).as_deref())?;
    let status = pistachioyard::run(Cli::parse(), daemon)?;
    Ok(status.into())
}
