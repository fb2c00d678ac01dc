//! What a daemon sets up before anything else.

mod signals;
mod stopped_early;
mod turn_meter;

use std::ffi::OsStr;
use std::num::NonZeroUsize;
use std::os::unix::net::UnixStream;
use std::panic::AssertUnwindSafe;

use parking_lot::Mutex;
use tokio::runtime::{Builder, Runtime};

pub(crate) use self::signals::{DaemonSignal, Signals};
pub use self::stopped_early::StoppedEarly;
pub(crate) use self::turn_meter::{TurnMeter, yield_turn};
use crate::prelude::*;
use crate::router::Log;
use crate::start::{Attempts, StartError};

/// The number of pairs of descriptors that a runtime with its signal driver needs.
const RUNTIME_PAIRS: usize = 3;

/// The threads that are left for work that blocks, or to others.
const SPARE_THREADS: usize = 1;

/// Where the system lists the threads of this process.
const OWN_THREADS: &str = "/proc/self/task";
/// How long a look at them waits for the next one.
const ENDING_WAIT: Duration = Duration::from_millis(1);
/// The most waits until the threads that have ended are gone.
const MAX_ENDING_WAITS: u32 = 100;

/// Holds the runtime of a daemon, the handlers of its signals and the times of its turns.
///
/// A signal that arrives before its handler ends the process, so signals wait until the handlers are
/// there.
pub struct Daemon {
    pub(crate) runtime: Runtime,
    pub(crate) signals: Signals,
    pub(crate) turns: Arc<TurnMeter>,
}

impl Daemon {
    /// Prepares the daemon that a subcommand runs; none if it runs no daemon. It waits as long as the
    /// system has no descriptors or threads left.
    ///
    /// # Errors
    ///
    /// Fails when a signal asks for a stop during that wait.
    pub fn prepare(subcommand: Option<&OsStr>) -> Result<Option<Self>, StoppedEarly> {
        match subcommand.and_then(OsStr::to_str) {
            Some("entry") => Self::for_entry().map(Some),
            Some("route") => Self::for_route().map(Some),
            Some(_) | None => Ok(None),
        }
    }

    /// Prepares the `entry` daemon.
    pub(crate) fn for_entry() -> Result<Self, StoppedEarly> {
        hold_signals();
        Self::build(Builder::new_multi_thread(), fit_workers)
    }

    /// Prepares the `route` daemon on a single thread, because its hosts have less than one core.
    pub(crate) fn for_route() -> Result<Self, StoppedEarly> {
        hold_signals();
        Self::build(Builder::new_current_thread(), |_| check_descriptors())
    }

    /// Repeats the set-up, each time after a check that the system has what it needs: without, it
    /// would panic.
    fn build(
        mut builder: Builder,
        check: fn(&mut Builder) -> std::io::Result<()>,
    ) -> Result<Self, StoppedEarly> {
        // Signals are held back, so no line may wait for its reader.
        let log = Log::install();
        let turns = Arc::new(TurnMeter::default());
        turns.observe(builder.enable_all());
        let mut attempts = Attempts::begin();
        loop {
            match Self::try_build(&mut builder, check) {
                Ok((runtime, signals)) => {
                    attempts.succeed();
                    return Ok(Self {
                        runtime,
                        signals,
                        turns,
                    });
                }
                Err(e) => {
                    let pause = attempts.fail(&e);
                    log.write_ready();
                    StoppedEarly::unless_over(pause).inspect_err(|_| log.write_ready())?;
                }
            }
        }
    }

    fn try_build(
        builder: &mut Builder,
        check: fn(&mut Builder) -> std::io::Result<()>,
    ) -> Result<(Runtime, Signals), StartError> {
        let handled = DaemonSignal::all();
        handled.thread_block().map_err(std::io::Error::from)?;
        check(builder)?;
        // Others may take the system's last descriptors and threads after the check.
        let runtime = std::panic::catch_unwind(AssertUnwindSafe(|| builder.build()))
            .map_err(|_| StartError::RuntimePanicked)??;
        let signals = {
            let _guard = runtime.enter();
            Signals::install()?
        };
        handled.thread_unblock().map_err(std::io::Error::from)?;
        Ok((runtime, signals))
    }
}

/// Holds signals back until they are handled, before anything else takes time.
fn hold_signals() {
    // An error is met again, and logged, in the first attempt of the set-up.
    let _ = DaemonSignal::all().thread_block();
}

fn check_descriptors() -> std::io::Result<()> {
    let pairs = std::iter::repeat_with(UnixStream::pair).take(RUNTIME_PAIRS);
    pairs.collect::<std::io::Result<Vec<_>>>().map(drop)
}

/// Limits the workers to the threads that there are. If the set-up found too few for them, it would
/// wait for ever for those that run.
fn fit_workers(builder: &mut Builder) -> std::io::Result<()> {
    check_descriptors()?;
    let wanted = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    let threads = count_threads(wanted + SPARE_THREADS)?;
    wait_until_ended();
    builder.worker_threads(threads.saturating_sub(SPARE_THREADS).max(1));
    Ok(())
}

/// Returns how many threads can be started, up to a number; fails if there is none.
fn count_threads(most: usize) -> std::io::Result<usize> {
    let gate = Mutex::new(());
    std::thread::scope(|scope| {
        let _closed = gate.lock();
        for started in 0..most {
            let thread = std::thread::Builder::new();
            match thread.spawn_scoped(scope, || drop(gate.lock())) {
                Err(e) if started == 0 => return Err(e),
                Err(_) => return Ok(started),
                Ok(_) => {}
            }
        }
        Ok(most)
    })
}

/// Waits until the system no longer counts threads that have ended; they may still count for a moment
/// after they were joined.
fn wait_until_ended() {
    for _ in 0..MAX_ENDING_WAITS {
        match std::fs::read_dir(OWN_THREADS).map(Iterator::count) {
            Ok(2..) => std::thread::sleep(ENDING_WAIT),
            Ok(_) | Err(_) => return,
        }
    }
}
