//! The signals that a daemon handles.

use nix::sys::signal::{SigSet, Signal as SystemSignal};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that would end a process without a handler and mean nothing to a daemon. A write
/// beyond the limit for a file's size raises SIGXFSZ; the write fails, as one to a full device does.
const IGNORED: [SystemSignal; 3] = [
    SystemSignal::SIGUSR1,
    SystemSignal::SIGUSR2,
    SystemSignal::SIGXFSZ,
];

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
    /// Returns those for which a daemon installs handlers, the ones that it ignores included.
    pub(super) fn all() -> SigSet {
        [
            SystemSignal::SIGHUP,
            SystemSignal::SIGINT,
            SystemSignal::SIGTERM,
        ]
        .into_iter()
        .chain(IGNORED)
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
    ///
    /// A handler that is installed stays, so the signals that mean nothing to a daemon do not end it.
    pub(crate) fn install() -> std::io::Result<Self> {
        for ignored in IGNORED {
            drop(signal(SignalKind::from_raw(ignored as i32))?);
        }
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
