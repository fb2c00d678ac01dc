//! What a daemon sets up before anything else.

mod signals;
mod turn_meter;

use std::ffi::OsStr;
use std::sync::Arc;

use tokio::runtime::{Builder, Runtime};

pub(crate) use self::signals::{DaemonSignal, Signals};
pub(crate) use self::turn_meter::TurnMeter;

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
    /// Prepares the daemon that a subcommand runs; none if it runs no daemon.
    ///
    /// # Errors
    ///
    /// Fails when the system has no descriptors or threads left.
    pub fn prepare(subcommand: Option<&OsStr>) -> std::io::Result<Option<Self>> {
        match subcommand.and_then(OsStr::to_str) {
            Some("entry") => Self::for_entry().map(Some),
            Some("route") => Self::for_route().map(Some),
            Some(_) | None => Ok(None),
        }
    }

    /// Prepares the `entry` daemon.
    pub(crate) fn for_entry() -> std::io::Result<Self> {
        Self::build(Builder::new_multi_thread())
    }

    /// Prepares the `route` daemon on a single thread, because its hosts have less than one core.
    pub(crate) fn for_route() -> std::io::Result<Self> {
        Self::build(Builder::new_current_thread())
    }

    fn build(mut builder: Builder) -> std::io::Result<Self> {
        let handled = DaemonSignal::all();
        handled.thread_block()?;
        let turns = Arc::new(TurnMeter::default());
        turns.observe(&mut builder);
        let runtime = builder.enable_all().build()?;
        let signals = {
            let _guard = runtime.enter();
            Signals::install()?
        };
        handled.thread_unblock()?;
        Ok(Self {
            runtime,
            signals,
            turns,
        })
    }
}
