//! The `pistachioyard` program: the router daemon and the operators' client.

use clap::Parser;
use pistachioyard::Cli;

fn main() -> eyre::Result<std::process::ExitCode> {
    let status = pistachioyard::run(Cli::parse())?;
    Ok(status.into())
}
