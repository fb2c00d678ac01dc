//! Entry point of the stand-ins.

use clap::{Parser, Subcommand};
use pistachioyard_standins::{
    BenchArgs, DemoArgs, EngineSettings, PlatformArgs, ProxyArgs, ScaleArgs, ServiceArgs,
    SiteStoreArgs, SiteWorkerArgs, exit_when_stdin_closes, run_bench, run_demo, run_engine,
    run_platform, run_proxy, run_scale, run_service, run_site_store, run_site_worker,
};
use tokio::runtime::{Builder, Runtime};

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
    /// Measures throughput against the bound, and the policy under load and faults.
    Bench(BenchArgs),
    /// Runs both example deployments, breaks them and checks every answer.
    Demo(DemoArgs),
    /// Runs one model engine.
    Engine(Box<EngineSettings>),
    /// The platform's object API and host list.
    Platform(PlatformArgs),
    /// A TCP proxy that injects faults.
    Proxy(ProxyArgs),
    /// Measures what an idle entry costs as the fleet grows.
    Scale(ScaleArgs),
    /// A plain service that counts its effects.
    Service(ServiceArgs),
    /// The store of the operators' platform.
    SiteStore(SiteStoreArgs),
    /// A worker on the operators' platform.
    SiteWorker(SiteWorkerArgs),
}

fn main() -> eyre::Result<()> {
    let cli = Cli::parse();
    let runtime = build_runtime(&cli.command)?;
    let _context = runtime.enter();
    if cli.exit_with_stdin {
        exit_when_stdin_closes();
    }
    match cli.command {
        Command::Bench(args) => runtime.block_on(run_bench(args))?,
        Command::Demo(args) => runtime.block_on(run_demo(args))?,
        Command::Engine(settings) => runtime.block_on(run_engine(*settings))?,
        Command::Platform(args) => runtime.block_on(run_platform(args))?,
        Command::Proxy(args) => runtime.block_on(run_proxy(args))?,
        Command::Scale(args) => runtime.block_on(run_scale(args))?,
        Command::Service(args) => runtime.block_on(run_service(args))?,
        Command::SiteStore(args) => runtime.block_on(run_site_store(args))?,
        Command::SiteWorker(args) => runtime.block_on(run_site_worker(args))?,
    }
    Ok(())
}

/// Gives engines and services, of which there are many, one thread each.
fn build_runtime(command: &Command) -> std::io::Result<Runtime> {
    let mut builder = match command {
        Command::Engine(_) | Command::Service(_) | Command::SiteWorker(_) => {
            Builder::new_current_thread()
        }
        Command::Bench(_)
        | Command::Demo(_)
        | Command::Platform(_)
        | Command::Proxy(_)
        | Command::Scale(_)
        | Command::SiteStore(_) => Builder::new_multi_thread(),
    };
    builder.enable_all().build()
}
