//! Starts and stops the daemon.

use std::path::Path;

use dropshot::{BuildError, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Notify;

use crate::api::ApiContext;
use crate::controller;
use crate::daemon::{DaemonSignal, Signals};
use crate::peer_link;
use crate::prelude::*;
use crate::router::Log;
use crate::settings::{EntrySettings, SettingsError};
use crate::start::{self, StartError, StartStep};

/// The maximum body size that the HTTP server accepts, in bytes. It is well above the limit of the
/// handlers, so that they can reject a body that is too large with a problem document.
const SERVER_BODY_BYTES: usize = 4_000_000;
/// The time for the last bytes of responses to be sent before the process ends, in milliseconds.
const FLUSH_MS: u64 = 200;

/// Runs the daemon until a signal asks it to stop.
///
/// # Errors
///
/// Returns the errors of a settings file that is invalid.
pub(crate) async fn run_entry(
    settings_file: &Path,
    signals: Signals,
) -> Result<(), Vec<SettingsError>> {
    let log = Log::install();
    tokio::spawn(log.clone().write());
    let ended = serve_until_stopped(settings_file, signals).await;
    log.flush();
    ended
}

async fn serve_until_stopped(
    settings_file: &Path,
    mut signals: Signals,
) -> Result<(), Vec<SettingsError>> {
    let hurry = Notify::new();
    let read = start::repeat(&hurry, || read_settings(settings_file));
    let settings = match start::unless_stopped(&mut signals, &hurry, read).await {
        Ok(settings) => settings?,
        Err(signal) => {
            log_early_stop(signal);
            return Ok(());
        }
    };
    crate::logging::init(settings.log_level);
    let metrics = crate::metric::install();
    crate::panic_hook::install(crate::metric::PANICS);
    let node = Node::new(settings, Instant::now());
    let recorder = metrics.clone();
    controller::supervise(&node, "metrics_upkeep", move |_| {
        crate::metrics_upkeep::run(recorder.clone())
    });
    let start = start(&node, &metrics, &hurry);
    let server = match start::unless_stopped(&mut signals, &hurry, start).await {
        Ok(server) => server,
        Err(signal) => {
            log_early_stop(signal);
            return Ok(());
        }
    };
    spdlog::info!(
        "entry: {} serves callers on {}",
        node.settings.entry,
        node.settings.caller_address
    );
    let why = loop {
        match signals.next().await {
            DaemonSignal::Hangup => check_settings(settings_file),
            why @ (DaemonSignal::Interrupt | DaemonSignal::Terminate) => break why,
        }
    };
    spdlog::info!("entry: stopping on {}", why.as_str());
    drain(&node).await;
    let _ = server.close().await;
    spdlog::info!("entry: stopped");
    Ok(())
}

fn log_early_stop(signal: DaemonSignal) {
    spdlog::info!("entry: stopped during the start on {}", signal.as_str());
}

/// Reads the settings. A file that cannot be read is tried again; one that is invalid is not, since
/// an operator has written it.
fn read_settings(file: &Path) -> Result<Result<EntrySettings, Vec<SettingsError>>, StartError> {
    match EntrySettings::load(file) {
        Err(errors) => match &errors[..] {
            [e @ SettingsError::Unreadable { .. }] => Err(StartError::Unreadable(e.clone())),
            _ => Ok(Err(errors)),
        },
        Ok(settings) => Ok(Ok(settings)),
    }
}

/// Opens the server for callers, then the port for peers, through which callers are sent here.
async fn start(
    node: &Arc<Node>,
    metrics: &PrometheusHandle,
    hurry: &Notify,
) -> HttpServer<ApiContext> {
    let server = start::repeat(hurry, || serve(node, metrics.clone())).await;
    let address = node.settings.peer_address;
    let listener = start::repeat(hurry, || {
        peer_link::bind(address).map_err(|e| StartError::listen(StartStep::Peers, address, e))
    });
    peer_link::serve(node, listener.await);
    controller::start(node);
    server
}

fn serve(
    node: &Arc<Node>,
    metrics: PrometheusHandle,
) -> Result<HttpServer<ApiContext>, StartError> {
    let config = ConfigDropshot {
        bind_address: node.settings.caller_address,
        default_request_body_max_bytes: SERVER_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let cx = ApiContext::new(node.clone(), metrics);
    ServerBuilder::new(
        crate::api::describe(),
        cx,
        crate::logging::dropshot_logger(),
    )
    .config(config)
    .start()
    .map_err(|e| {
        let address = node.settings.caller_address;
        match e {
            BuildError::BindError { error, .. } => {
                StartError::listen(StartStep::Callers, address, error)
            }
            e => StartError::listen(StartStep::Callers, address, e),
        }
    })
}

/// Checks the settings file and logs the result; the running process keeps all of its settings
/// until it is restarted.
fn check_settings(file: &Path) {
    match EntrySettings::load(file) {
        Ok(_) => spdlog::info!("entry: settings file is valid, restart to apply it"),
        Err(errors) => spdlog::error!(
            "entry: cannot load the settings file, {} error(s); see `check --kind settings`",
            errors.len()
        ),
    }
}

/// Withdraws this entry from the address lists, serves callers that hold an old list, and waits
/// for the requests in progress.
async fn drain(node: &Arc<Node>) {
    node.lifecycle.drain();
    node.peers.push_gossip(node);
    spdlog::info!(
        "entry: draining, {} requests in progress",
        node.lifecycle.in_flight()
    );
    tokio::time::sleep(node.settings.entries_valid).await;
    node.lifecycle.stop();
    let idle = node.lifecycle.wait_until_idle();
    if tokio::time::timeout(node.settings.drain_limit, idle)
        .await
        .is_err()
    {
        spdlog::error!(
            "entry: the drain limit passed with {} requests in progress",
            node.lifecycle.in_flight()
        );
    }
    node.ledger.flush(node.settings.drain_limit).await;
    tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
}
