//! Entry point of the stand-ins.

use clap::{Parser, Subcommand};
use pistachioyard_standins::{EngineSettings, run_engine};

#[derive(Debug, Parser)]
#[command(about, version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one model engine.
    Engine(Box<EngineSettings>),
}

fn main() -> eyre::Result<()> {
    match Cli::parse().command {
        Command::Engine(settings) => {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(run_engine(*settings))?;
        }
    }
    Ok(())
}
