//! Starts and stops the daemon.

use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use tokio::signal::unix::{SignalKind, signal};

use crate::controller;
use crate::peer_link;
use crate::prelude::*;
use crate::settings::EntrySettings;

/// The maximum body size that the HTTP server accepts, in bytes. It is well above the limit of the
/// handlers, so that they can reject a body that is too large with a problem document.
const SERVER_BODY_BYTES: usize = 4_000_000;
/// The time for the last bytes of responses to be sent before the process ends, in milliseconds.
const FLUSH_MS: u64 = 200;

/// The reason why the daemon cannot run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EntryError {
    /// The server cannot listen on the caller address.
    #[error("cannot listen for callers on {address}: {why}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        why: String,
    },
    /// The server cannot listen on the peer address.
    #[error("cannot listen for peers on {address}")]
    PeerListen {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers")]
    Signals(#[from] std::io::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot install the metrics recorder")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Runs the daemon until it receives SIGTERM or SIGINT.
pub(crate) async fn run_entry(settings: EntrySettings) -> Result<(), EntryError> {
    let metrics = crate::metric::install()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::new(settings, Instant::now());
    peer_link::listen(node.clone())
        .await
        .map_err(|source| EntryError::PeerListen {
            address: node.settings.peer_address,
            source,
        })?;
    controller::start(&node);
    let server = serve(&node, metrics)?;
    spdlog::info!(
        "entry: {} serves callers on {}",
        node.settings.entry,
        node.settings.caller_address
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    drain(&node).await;
    let _ = server.close().await;
    spdlog::info!("entry: stopped");
    Ok(())
}

fn serve(
    node: &Arc<Node>,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Result<HttpServer<crate::api::ApiContext>, EntryError> {
    let config = ConfigDropshot {
        bind_address: node.settings.caller_address,
        default_request_body_max_bytes: SERVER_BODY_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let cx = crate::api::ApiContext::new(node.clone(), metrics);
    ServerBuilder::new(
        crate::api::describe(),
        cx,
        crate::logging::dropshot_logger(),
    )
    .config(config)
    .start()
    .map_err(|e| EntryError::Listen {
        address: node.settings.caller_address,
        why: e.to_string(),
    })
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
