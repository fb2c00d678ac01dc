//! Entry point of the stand-ins.

use clap::{Parser, Subcommand};
use pistachioyard_standins::{
    PlatformArgs, ProxyArgs, ServiceArgs, exit_when_stdin_closes, run_platform, run_proxy,
    run_service,
};

/// Stand-ins for tests and the demo.
#[derive(Debug, Parser)]
struct Cli {
    /// Exit as soon as standard input closes, so that no process outlives its launcher.
    #[arg(global = true, long)]
    exit_with_stdin: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// The platform's object API and host list.
    Platform(PlatformArgs),
    /// A TCP proxy that injects faults.
    Proxy(ProxyArgs),
    /// A plain service that counts its effects.
    Service(ServiceArgs),
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    if cli.exit_with_stdin {
        exit_when_stdin_closes();
    }
    match cli.command {
        Command::Platform(args) => run_platform(args).await?,
        Command::Proxy(args) => run_proxy(args).await?,
        Command::Service(args) => run_service(args).await?,
    }
    Ok(())
}
