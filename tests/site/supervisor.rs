//! Restarts endpoints that crash.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use pistachioyard_standins::Launcher;

use super::support::{Endpoint, Site};

/// How often the endpoints are checked for crashes.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(20);
/// The time from the crash of an endpoint until it is started again.
const RESTART_DELAY: Duration = Duration::from_secs(2);

impl Site {
    /// Starts to restart endpoints that crash; the site has none itself until the supervisor
    /// is stopped and returns them.
    pub(crate) fn supervise_endpoints(&mut self) -> Supervisor {
        Supervisor::start(std::mem::take(&mut self.endpoints), self.launcher.clone())
    }
}

/// Restarts endpoints that have crashed, until it is stopped.
pub(crate) struct Supervisor {
    task: tokio::task::JoinHandle<Vec<Endpoint>>,
    stop: Arc<AtomicBool>,
    crashes: Arc<AtomicUsize>,
}

impl Supervisor {
    fn start(endpoints: Vec<Endpoint>, launcher: Launcher) -> Self {
        let (stop, crashes) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let task = tokio::spawn(supervise(
            endpoints,
            launcher,
            stop.clone(),
            Arc::clone(&crashes),
        ));
        Self {
            task,
            stop,
            crashes,
        }
    }

    /// Returns the number of crashes so far.
    pub(crate) fn crashes(&self) -> usize {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Stops the restarts and returns the endpoints.
    pub(crate) async fn stop(self) -> Vec<Endpoint> {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.expect("the supervisor does not panic")
    }
}

async fn supervise(
    mut endpoints: Vec<Endpoint>,
    launcher: Launcher,
    stop: Arc<AtomicBool>,
    crashes: Arc<AtomicUsize>,
) -> Vec<Endpoint> {
    let mut crashed_at: Vec<Option<Instant>> = endpoints.iter().map(|_| None).collect();
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(SUPERVISION_INTERVAL).await;
        for (endpoint, crashed_at) in endpoints.iter_mut().zip(&mut crashed_at) {
            let child = endpoint.process.running_child();
            match *crashed_at {
                None if !child.is_running().unwrap_or(true) => {
                    crashes.fetch_add(1, Ordering::Relaxed);
                    *crashed_at = Some(Instant::now());
                }
                Some(at) if at.elapsed() >= RESTART_DELAY => {
                    endpoint.process.start(&launcher);
                    *crashed_at = None;
                }
                None | Some(_) => {}
            }
        }
    }
    endpoints
}
