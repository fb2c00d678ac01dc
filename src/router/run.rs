//! Starting, reloading and stopping the daemon on the operators' platform.

use std::net::SocketAddr;
use std::path::Path;

use pistachioyard_platform::{NodeSettings, SettingsError};
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::prelude::*;
use crate::router::front::{self, Service};
use crate::router::log::ms;
use crate::router::{Router, controller, log, metric};

/// How long callers that hold an old directory answer are still served after a stop
/// was asked for; some keep an answer for three times as long as they are told.
const OLD_ANSWERS: Duration = Duration::from_millis(2_500);
/// The time before the end of the grace period in which what is left is cut.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// How long the last lines may take to be written; a reader that reads takes a few ms.
const LOG_FLUSH_LIMIT: Duration = Duration::from_millis(150);
/// The port of the metrics, as `deploy/system.toml` names it.
const METRICS_PORT: u16 = 9_464;

/// Why the daemon did not run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RouterError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: std::io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[from] std::io::Error),
    /// The log cannot be opened.
    #[error("cannot log: {0}")]
    Log(#[from] spdlog::Error),
    /// The metrics recorder cannot be installed.
    #[error("cannot record metrics: {0}")]
    Metrics(#[from] metrics_exporter_prometheus::BuildError),
}

/// Runs the daemon until it is told to stop.
pub(crate) async fn run_router(settings_file: &Path) -> Result<(), RouterError> {
    log::init()?;
    let metrics = metric::install()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let router = Router::new(NodeSettings::load(settings_file)?, Instant::now());
    listen(&router, metrics).await?;
    spdlog::info!("router: started", kv: {
        entry = router.settings.entry.as_str(),
        data_centre = router.settings.data_centre.as_str(),
        callers = router.settings.caller_address.to_string().as_str(),
        boot = router.boot.to_string().as_str(), first_start = router.settings.is_first_start
    });
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&router, settings_file),
        }
    }
    stop(&router).await;
    Ok(())
}

async fn listen(
    router: &Arc<Router>,
    metrics: metrics_exporter_prometheus::PrometheusHandle,
) -> Result<(), RouterError> {
    let settings = &router.settings;
    let peer_address = settings.peer_address;
    let peers = UdpSocket::bind(peer_address)
        .await
        .map_err(|source| RouterError::Listen {
            address: peer_address,
            source,
        })?;
    let metrics_address = SocketAddr::new(settings.caller_address.ip(), METRICS_PORT);
    let servers = [
        (Some(settings.caller_address), Service::Callers),
        (Some(settings.ready_address), Service::Readiness),
        (settings.directory_address, Service::Directory),
        (Some(peer_address), Service::Peers),
        (Some(metrics_address), Service::Metrics(metrics)),
    ];
    for (address, service) in servers {
        let Some(address) = address else {
            continue;
        };
        let listener =
            front::bind(address).map_err(|source| RouterError::Listen { address, source })?;
        tokio::spawn(front::accept(router.clone(), listener, service));
    }
    controller::start(router, peers);
    Ok(())
}

/// Reads the settings again; addresses and bounds of a running process do not change.
fn reload(router: &Router, settings_file: &Path) {
    match NodeSettings::load(settings_file) {
        Ok(settings) => spdlog::info!("router: reloaded", kv: {
            store = settings.store.address.to_string().as_str(),
            store_before = router.settings.store.address.to_string().as_str()
        }),
        Err(e) => spdlog::error!("router: the settings are not reloaded", kv: {
            why = e.to_string().as_str()
        }),
    }
}

/// Leaves the directory, serves callers that hold an old answer, and waits for the
/// requests in progress until the grace period is nearly over.
async fn stop(router: &Arc<Router>) {
    let asked_at = Instant::now();
    router.lifecycle.drain();
    spdlog::info!("router: stops", kv: { in_flight = router.lifecycle.in_flight() });
    controller::announce(router).await;
    tokio::time::sleep(OLD_ANSWERS).await;
    router.lifecycle.stop();
    let rest = (router.settings.stop_grace - STOP_MARGIN).saturating_sub(asked_at.elapsed());
    let idle = router.lifecycle.wait_until_idle();
    let is_idle = tokio::time::timeout(rest, idle).await.is_ok();
    spdlog::info!("router: stopped", kv: {
        is_idle, cut_off = router.lifecycle.in_flight(), took_ms = ms(asked_at.elapsed())
    });
    log::finish(LOG_FLUSH_LIMIT);
}
