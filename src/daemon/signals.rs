//! The signals that a daemon handles.

use nix::errno::Errno;
use nix::sys::signal::{SigEvent, SigSet, SigevNotify, Signal as SystemSignal};
use nix::sys::timer::{Expiration, Timer, TimerSetTimeFlags};
use nix::time::ClockId;
use nix::unistd::alarm;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::prelude::*;

/// The signals that would end a process without a handler and mean nothing to a daemon. A write
/// beyond the limit for a file's size raises SIGXFSZ; the write fails, as one to a full device does.
const IGNORED: [SystemSignal; 9] = [
    SystemSignal::SIGALRM,
    SystemSignal::SIGIO,
    SystemSignal::SIGPROF,
    SystemSignal::SIGPWR,
    SystemSignal::SIGUSR1,
    SystemSignal::SIGUSR2,
    SystemSignal::SIGVTALRM,
    SystemSignal::SIGXCPU,
    SystemSignal::SIGXFSZ,
];

/// The pause where the system refuses a timer, in seconds.
const ALARM_SECONDS: u32 = 1;

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

    /// Waits for one of the signals before there are handlers; none comes within the pause.
    ///
    /// The signals must be blocked. It needs no descriptor and no thread: SIGALRM, one of them, ends
    /// the pause.
    pub(super) fn wait_blocked(pause: Duration) -> Result<Option<Self>, Errno> {
        let _timer = match start_timer(pause) {
            Ok(timer) => Some(timer),
            Err(_) => {
                alarm::set(ALARM_SECONDS);
                None
            }
        };
        Ok(match Self::all().wait()? {
            SystemSignal::SIGHUP => Some(Self::Hangup),
            SystemSignal::SIGINT => Some(Self::Interrupt),
            SystemSignal::SIGTERM => Some(Self::Terminate),
            _ => None,
        })
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

fn start_timer(pause: Duration) -> Result<Timer, Errno> {
    let notify = SigevNotify::SigevSignal {
        signal: SystemSignal::SIGALRM,
        si_value: 0,
    };
    let mut timer = Timer::new(ClockId::CLOCK_MONOTONIC, SigEvent::new(notify))?;
    let expiration = Expiration::OneShot(pause.into());
    timer.set(expiration, TimerSetTimeFlags::empty())?;
    Ok(timer)
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
