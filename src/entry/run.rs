//! Starting and stopping the daemon.

use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use tokio::signal::unix::{SignalKind, signal};

use crate::controller;
use crate::peer_link;
use crate::prelude::*;
use crate::settings::EntrySettings;

/// The largest body that a caller may send, in bytes; twice what requests may
/// use, so that a request that is too large is told so by its own filter.
const SERVER_BODY_BYTES: usize = 4_000_000;
/// How long the last bytes of answers get to leave the process, in milliseconds.
const FLUSH_MS: u64 = 200;

/// Why the daemon did not run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EntryError {
    /// The caller address cannot be listened on.
    #[error("cannot listen for callers on {address}: {why}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        why: String,
    },
    /// The peer address cannot be listened on.
    #[error("cannot listen for peers on {address}")]
    PeerListen {
        /// The address.
        address: std::net::SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals")]
    Signals(#[from] std::io::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot record metrics")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Runs the daemon until it is told to stop.
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
    let cx = crate::api::ApiContext {
        node: node.clone(),
        metrics,
    };
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

/// Leaves the address lists, serves callers that hold an old one, and waits for
/// the requests in progress.
async fn drain(node: &Arc<Node>) {
    node.lifecycle.drain();
    node.peers.push_gossip(node);
    spdlog::info!("entry: drains, {} in progress", node.lifecycle.in_flight());
    tokio::time::sleep(node.settings.entries_valid).await;
    node.lifecycle.stop();
    let idle = node.lifecycle.wait_until_idle();
    if tokio::time::timeout(node.settings.drain_limit, idle)
        .await
        .is_err()
    {
        spdlog::error!(
            "entry: the drain limit passed with {} in progress",
            node.lifecycle.in_flight()
        );
    }
    node.ledger.flush(node.settings.drain_limit).await;
    tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
}
