//! Starts entries again that have ended, as the operators' platform does.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use pistachioyard_standins::{LaunchError, Launcher, wait_until};
use tokio::sync::watch;

use super::own_end::OwnEnd;
use super::process::Process;
use super::support::Site;

/// How often the entries are checked.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(10);
/// The time from the end of an entry until it is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);
/// How long a program may take from its start to its `main`.
const MAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a starting program is polled.
const MAIN_POLL_INTERVAL: Duration = Duration::from_micros(50);
/// The bit of SIGSEGV in the signals that a process catches. The runtime of Rust catches it just
/// before it calls `main`, so that until then no program can catch anything.
const SEGV_BIT: u64 = 1 << (Signal::SIGSEGV as u64 - 1);

/// Holds the processes of a site's entries and starts them again when they end.
pub(crate) struct EntrySupervisor {
    entries: Vec<Arc<Supervised>>,
    task: tokio::task::JoinHandle<Summary>,
    stop: Arc<AtomicBool>,
}

/// Says what a supervisor has seen.
#[derive(Debug, Default)]
pub(crate) struct Summary {
    /// The number of starts of entries.
    pub(crate) starts: u64,
    /// The most memory that an entry has held, in bytes.
    pub(crate) peak_bytes: u64,
    /// All ends that nothing requested.
    pub(crate) own_ends: Vec<OwnEnd>,
}

struct Supervised {
    process: Mutex<Process>,
    /// The process id of the last start.
    started: watch::Sender<u32>,
}

impl Site {
    /// Starts to restart entries that end, and kills those that exceed the memory of their machine;
    /// the site's own processes do not run until the supervisor is stopped.
    pub(crate) fn supervise_entries(&mut self) -> EntrySupervisor {
        let entries = self.entries.iter_mut().map(|entry| {
            let process = entry.process.hand_over();
            let pid = process.child.as_ref().map_or(0, |child| child.id());
            Arc::new(Supervised {
                process: Mutex::new(process),
                started: watch::Sender::new(pid),
            })
        });
        let entries: Vec<_> = entries.collect();
        let stop = Arc::new(AtomicBool::new(false));
        let machine_bytes = self.layout.memory_mb.map_or(u64::MAX, |mb| mb * 1_000_000);
        let task = tokio::spawn(supervise(
            entries.clone(),
            self.launcher.clone(),
            machine_bytes,
            Arc::clone(&stop),
        ));
        EntrySupervisor {
            entries,
            task,
            stop,
        }
    }
}

impl EntrySupervisor {
    /// Sends signals to an entry, each some time from now or from its `main`, whichever is later.
    pub(crate) async fn signal_at(&self, entry: usize, signals: Vec<(Duration, Signal)>) {
        let entry = &self.entries[entry];
        let pid = entry.lock().child.as_ref().map(|child| child.id());
        if let Some(pid) = pid {
            send_signals(entry, pid, signals).await;
        }
    }

    /// Kills an entry, and lets `prepare` act before it is started again; returns a handle to wait
    /// for that start.
    pub(crate) fn restart(&self, entry: usize, prepare: impl FnOnce()) -> NextStart {
        let entry = Arc::clone(&self.entries[entry]);
        let mut process = entry.lock();
        process.kill();
        prepare();
        let started = entry.started.subscribe();
        drop(process);
        NextStart { entry, started }
    }

    /// Returns the path of an entry's settings file.
    pub(crate) fn settings_file(&self, entry: usize) -> PathBuf {
        self.entries[entry].lock().settings_file().to_owned()
    }

    /// Waits until entries that were told to end have done so and been started again.
    pub(crate) async fn await_starts(&self, timeout: Duration) -> Result<(), LaunchError> {
        let is_running = |entry: &Arc<Supervised>| {
            let process = entry.lock();
            let child = process.child.as_ref();
            child.is_some_and(|child| !child.is_end_requested())
        };
        wait_until(timeout, "starts", || async {
            self.entries.iter().all(is_running)
        })
        .await
    }

    /// Stops the restarts and gives the processes back.
    pub(crate) async fn stop(self, site: &mut Site) -> Summary {
        self.stop.store(true, Ordering::Relaxed);
        let mut summary = self.task.await.expect("the supervisor does not panic");
        for (entry, supervised) in site.entries.iter_mut().zip(self.entries) {
            let mut process = supervised.lock().hand_over();
            summary.own_ends.extend(process.take_own_ends());
            entry.process = process;
        }
        summary
    }
}

impl Supervised {
    fn lock(&self) -> MutexGuard<'_, Process> {
        self.process.lock().expect("no holder panics")
    }

    /// Sends a signal unless the process has been replaced.
    fn signal(&self, pid: u32, signal: Signal) {
        let process = self.lock();
        if let Some(child) = process.child.as_ref().filter(|child| child.id() == pid) {
            child.send(signal).expect("the signal is sent");
        }
    }
}

/// Waits for the next start of an entry.
pub(crate) struct NextStart {
    entry: Arc<Supervised>,
    started: watch::Receiver<u32>,
}

impl NextStart {
    /// Waits until the entry is started.
    pub(crate) async fn wait(&mut self) {
        let changed = self.started.changed().await;
        changed.expect("the entry is held");
    }

    /// Sends signals to the entry after its start, each some time after its `main` is reached.
    pub(crate) async fn signal_at(mut self, signals: Vec<(Duration, Signal)>) {
        self.wait().await;
        let pid = *self.started.borrow();
        send_signals(&self.entry, pid, signals).await;
    }
}

async fn send_signals(entry: &Arc<Supervised>, pid: u32, signals: Vec<(Duration, Signal)>) {
    let entry = Arc::clone(entry);
    // The timer of the runtime is too coarse for the first milliseconds of a process.
    let sent = tokio::task::spawn_blocking(move || {
        let reached_at = await_main(pid);
        for (after, signal) in signals {
            std::thread::sleep((reached_at + after).saturating_duration_since(Instant::now()));
            entry.signal(pid, signal);
        }
    });
    sent.await.expect("the signals are sent");
}

/// Waits until a process has reached its `main` or has ended; returns when that was.
fn await_main(pid: u32) -> Instant {
    let started_at = Instant::now();
    while started_at.elapsed() < MAIN_TIMEOUT {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
        let caught = status.ok().and_then(|status| {
            let mut lines = status.lines();
            let caught = lines.find_map(|line| line.strip_prefix("SigCgt:"))?;
            u64::from_str_radix(caught.trim(), 16).ok()
        });
        if caught.is_none_or(|caught| caught & SEGV_BIT != 0) {
            break;
        }
        std::thread::sleep(MAIN_POLL_INTERVAL);
    }
    Instant::now()
}

async fn supervise(
    entries: Vec<Arc<Supervised>>,
    launcher: Launcher,
    machine_bytes: u64,
    stop: Arc<AtomicBool>,
) -> Summary {
    let mut summary = Summary::default();
    let mut ended_at: Vec<Option<Instant>> = entries.iter().map(|_| None).collect();
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(SUPERVISION_INTERVAL).await;
        for (entry, ended_at) in entries.iter().zip(&mut ended_at) {
            let mut process = entry.lock();
            let peak_bytes = process.peak_memory_bytes().unwrap_or_default();
            summary.peak_bytes = summary.peak_bytes.max(peak_bytes);
            process.limit_memory(machine_bytes);
            match *ended_at {
                None if !process.is_running() => {
                    process.record_own_end();
                    *ended_at = Some(Instant::now());
                }
                Some(at) if at.elapsed() >= RESTART_DELAY => {
                    process.start(&launcher);
                    let pid = process.running_child().id();
                    drop(process);
                    entry.started.send_replace(pid);
                    *ended_at = None;
                    summary.starts += 1;
                }
                None | Some(_) => {}
            }
        }
    }
    summary
}
