//! Startup, settings checks and shutdown of the router daemon.

mod listeners;

use std::path::Path;

use pistachioyard_platform::{NodeSettings, SettingsFile};
use tokio::sync::Notify;

use self::listeners::{Listeners, serve_metrics};
use crate::daemon::{DaemonSignal, Signals, TurnMeter};
use crate::prelude::*;
use crate::router::log::{Log, ms};
use crate::router::{LoadControl, Router, controller, metric};
use crate::start::{self, StartError};

/// How long new requests are still accepted after a stop was requested, for callers with a
/// cached directory response; some callers cache it for three times its TTL.
const STALE_DIRECTORY_GRACE: Duration = Duration::from_millis(2_500);
/// The share of the grace period in which new requests are accepted at most; the rest is left for
/// those that came last.
const MAX_ACCEPTING_SHARE: f64 = 0.5;
/// How long before the end of the grace period the remaining requests are cut off.
const STOP_MARGIN: Duration = Duration::from_millis(250);

/// Runs the daemon until a signal asks it to stop.
///
/// A process that is ended by a signal without a handler logs nothing.
pub(crate) async fn run_router(
    settings_file: &SettingsFile,
    load_controls: Vec<LoadControl>,
    signals: Signals,
    turns: Arc<TurnMeter>,
) {
    let log = Log::install();
    tokio::spawn(log.clone().write());
    spdlog::info!("router: starting", kv: {
        pid = std::process::id(), settings_file = settings_file.path().to_string_lossy().as_ref(),
        named_by = settings_file.source().as_str()
    });
    serve(settings_file.path(), load_controls, signals, turns).await;
    log.flush();
}

async fn serve(
    settings_file: &Path,
    load_controls: Vec<LoadControl>,
    mut signals: Signals,
    turns: Arc<TurnMeter>,
) {
    let began_at = Instant::now();
    let metrics = metric::install(turns);
    crate::panic_hook::install(metric::PANICS);
    let hurry = Arc::new(Notify::new());
    let start = start::repeat(&hurry, || open(settings_file));
    let opened = match start::unless_stopped(&mut signals, &hurry, start).await {
        Ok(opened) => opened,
        Err(signal) => {
            spdlog::info!("router: stopped during the start", kv: {
                why = signal.as_str(), took_ms = ms(began_at.elapsed())
            });
            return;
        }
    };
    let router = Router::new(opened.settings, load_controls, Instant::now());
    log_assumed(&router.settings);
    opened.listeners.serve(&router);
    let exporter = metrics.clone();
    controller::supervise(&router, "metrics_upkeep", move |_| {
        exporter.clone().keep_up()
    });
    tokio::spawn(serve_metrics(router.clone(), metrics, hurry.clone()));
    spdlog::info!("router: started", kv: {
        entry = router.settings.entry.as_str(),
        data_centre = router.settings.data_centre.as_str(),
        callers = router.settings.caller_address.to_string().as_str(),
        boot = router.boot.to_string().as_str(), first_start = router.settings.is_first_start,
        settings_ms = ms(opened.settings_took), listeners_ms = ms(opened.listeners_took),
        took_ms = ms(began_at.elapsed())
    });
    loop {
        match signals.next().await {
            DaemonSignal::Hangup => {
                check_settings(&router, settings_file);
                hurry.notify_waiters();
            }
            why @ (DaemonSignal::Interrupt | DaemonSignal::Terminate) => {
                stop(&router, why).await;
                return;
            }
        }
    }
}

/// Holds what a start has read and opened, and how long that took in the last attempt.
struct Opened {
    settings: NodeSettings,
    settings_took: Duration,
    listeners: Listeners,
    listeners_took: Duration,
}

/// Reads the settings and opens the sockets. Settings that name a wrong address may be rewritten
/// too, so both are done in each attempt.
fn open(settings_file: &Path) -> Result<Opened, StartError> {
    let began_at = Instant::now();
    let settings = NodeSettings::load(settings_file)?;
    let settings_took = began_at.elapsed();
    let listeners = Listeners::open(&settings)?;
    Ok(Opened {
        settings,
        settings_took,
        listeners,
        listeners_took: began_at.elapsed().saturating_sub(settings_took),
    })
}

/// Logs each setting that the settings file does not give in a usable form.
fn log_assumed(settings: &NodeSettings) {
    for setting in &settings.assumed {
        spdlog::warn!("router: setting assumed", kv: {
            field = setting.field, why = setting.why.as_str(),
            assumed = setting.value.to_string().as_str()
        });
    }
}

/// Checks the settings file and logs the result; the running process keeps all of its
/// settings until it is restarted.
fn check_settings(router: &Router, settings_file: &Path) {
    match NodeSettings::load(settings_file) {
        Ok(settings) => {
            log_assumed(&settings);
            spdlog::info!("router: settings file is valid, restart to apply it", kv: {
                store = settings.store.address.to_string().as_str(),
                store_before = router.settings.store.address.to_string().as_str()
            });
        }
        Err(e) => spdlog::error!("router: cannot load the settings file", kv: {
            why = e.to_string().as_str()
        }),
    }
}

/// Shuts down gracefully.
///
/// Leaves the directory, keeps serving callers with a cached directory response for a
/// while, then waits for the requests in progress until the grace period is nearly over.
async fn stop(router: &Arc<Router>, why: DaemonSignal) {
    let asked_at = Instant::now();
    let grace = router.settings.stop_grace;
    let ends_at = asked_at + grace.saturating_sub(STOP_MARGIN);
    router.lifecycle.drain_until(ends_at);
    spdlog::info!("router: stopping", kv: {
        why = why.as_str(), in_flight = router.lifecycle.in_flight()
    });
    controller::announce(router).await;
    let accepting = STALE_DIRECTORY_GRACE.min(grace.mul_f64(MAX_ACCEPTING_SHARE));
    tokio::time::sleep(accepting).await;
    router.lifecycle.stop();
    let idle = router.lifecycle.wait_until_idle();
    let is_idle = tokio::time::timeout_at(ends_at.into(), idle).await.is_ok();
    spdlog::info!("router: stopped", kv: {
        is_idle, cut_off = router.lifecycle.in_flight(),
        open_connections = router.lifecycle.open_connections(),
        took_ms = ms(asked_at.elapsed())
    });
}
