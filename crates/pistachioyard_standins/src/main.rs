//! Command-line interface of the stand-ins.

use clap::{Parser, Subcommand};
use pistachioyard_standins::{
    BenchArgs, DemoArgs, EngineSettings, PlatformArgs, ProxyArgs, ScaleArgs, ServiceArgs,
    SiteStoreArgs, SiteWorkerArgs, exit_when_stdin_closes, run_bench, run_demo, run_engine,
    run_platform, run_proxy, run_scale, run_service, run_site_store, run_site_worker,
};
use tokio::runtime::{Builder, Runtime};

/// Stand-ins for the platform, engines and services, and the tools that run them.
#[derive(Debug, Parser)]
struct Cli {
    /// Exits as soon as standard input closes, so that no process outlives its launcher.
    #[arg(global = true, long)]
    exit_with_stdin: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measures throughput relative to its upper bound, and behaviour under load and faults.
    Bench(BenchArgs),
    /// Runs the example deployments, injects faults and checks every answer.
    Demo(DemoArgs),
    /// Runs one model engine.
    Engine(Box<EngineSettings>),
    /// Runs the platform's object API and host list.
    Platform(PlatformArgs),
    /// Runs a TCP proxy that injects faults.
    Proxy(ProxyArgs),
    /// Measures the resource usage of an idle entry as the fleet grows.
    Scale(ScaleArgs),
    /// Runs a plain service that counts its effects.
    Service(ServiceArgs),
    /// Runs the object store of the operators' platform.
    SiteStore(SiteStoreArgs),
    /// Runs a worker of the operators' platform: an engine or a plain service.
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

/// Builds a single-threaded runtime for processes that run in large numbers, and a
/// multi-threaded one for the others.
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
