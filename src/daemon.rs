//! What a daemon sets up before anything else.

mod signals;
mod stopped_early;

use std::ffi::OsStr;
use std::os::unix::net::UnixStream;
use std::panic::AssertUnwindSafe;

use tokio::runtime::{Builder, Runtime};

pub(crate) use self::signals::{DaemonSignal, Signals};
pub use self::stopped_early::StoppedEarly;
use crate::start::{Attempts, StartError};

/// The number of pairs of descriptors that a runtime with its signal driver needs.
const RUNTIME_PAIRS: usize = 3;

/// Holds the runtime of a daemon and the handlers of its signals.
///
/// A signal that arrives before its handler ends the process, so signals wait until the handlers are
/// there.
pub struct Daemon {
    pub(crate) runtime: Runtime,
    pub(crate) signals: Signals,
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
        Self::build(Builder::new_multi_thread(), check_descriptors_and_thread)
    }

    /// Prepares the `route` daemon on a single thread, because its hosts have less than one core.
    pub(crate) fn for_route() -> Result<Self, StoppedEarly> {
        Self::build(Builder::new_current_thread(), check_descriptors)
    }

    /// Repeats the set-up, each time after a check that the system has what it needs: without, it
    /// would panic.
    fn build(
        mut builder: Builder,
        check: fn() -> std::io::Result<()>,
    ) -> Result<Self, StoppedEarly> {
        builder.enable_all();
        let mut attempts = Attempts::begin();
        loop {
            match Self::try_build(&mut builder, check) {
                Ok(daemon) => {
                    attempts.succeed();
                    return Ok(daemon);
                }
                Err(e) => StoppedEarly::unless_over(attempts.fail(&e))?,
            }
        }
    }

    fn try_build(
        builder: &mut Builder,
        check: fn() -> std::io::Result<()>,
    ) -> Result<Self, StartError> {
        let handled = DaemonSignal::all();
        handled.thread_block().map_err(std::io::Error::from)?;
        check()?;
        // Others may take the system's last descriptors and threads after the check.
        let runtime = std::panic::catch_unwind(AssertUnwindSafe(|| builder.build()))
            .map_err(|_| StartError::RuntimePanicked)??;
        let signals = {
            let _guard = runtime.enter();
            Signals::install()?
        };
        handled.thread_unblock().map_err(std::io::Error::from)?;
        Ok(Self { runtime, signals })
    }
}

fn check_descriptors() -> std::io::Result<()> {
    let pairs = std::iter::repeat_with(UnixStream::pair).take(RUNTIME_PAIRS);
    pairs.collect::<std::io::Result<Vec<_>>>().map(drop)
}

fn check_descriptors_and_thread() -> std::io::Result<()> {
    check_descriptors()?;
    let thread = std::thread::Builder::new().spawn(|| ())?;
    // The thread does nothing, so it cannot panic.
    let _ = thread.join();
    Ok(())
}
