//! The signals that a daemon handles.

use nix::sys::signal::{SigSet, Signal as SystemSignal};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Names a signal that a daemon handles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DaemonSignal {
    /// SIGHUP: the settings have changed.
    Hangup,
    /// SIGINT: an operator asks for a stop.
    Interrupt,
    /// SIGTERM: the platform asks for a stop.
    Terminate,
}

impl DaemonSignal {
    /// Returns all of them as a set of the system.
    pub(super) fn all() -> SigSet {
        [
            SystemSignal::SIGHUP,
            SystemSignal::SIGINT,
            SystemSignal::SIGTERM,
        ]
        .into_iter()
        .collect()
    }

    /// Returns the usual name of the signal.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Hangup => "SIGHUP",
            Self::Interrupt => "SIGINT",
            Self::Terminate => "SIGTERM",
        }
    }
}

/// Receives the signals to a daemon.
pub(crate) struct Signals {
    hangup: Signal,
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    /// Installs the handlers, in the context of a runtime.
    pub(crate) fn install() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            interrupt: signal(SignalKind::interrupt())?,
            terminate: signal(SignalKind::terminate())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> DaemonSignal {
        tokio::select! {
            _ = self.hangup.recv() => DaemonSignal::Hangup,
            _ = self.interrupt.recv() => DaemonSignal::Interrupt,
            _ = self.terminate.recv() => DaemonSignal::Terminate,
        }
    }
}
