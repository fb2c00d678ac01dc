//! What this host may lack for an outgoing connection.

use std::io::Error;
use std::net::SocketAddr;

use nix::errno::Errno;

use crate::pace::Pace;
use crate::prelude::*;

/// The minimum interval between two log lines about shortages.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Names what this host lacks, which is no fault of the process that was to be called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Shortage {
    /// The own address has no free port for the destination, or is not there.
    Ports,
    /// The process or the system has no free descriptor.
    Descriptors,
    /// The system has no memory for sockets.
    Memory,
}

impl Shortage {
    /// Returns the shortage that an error of a connection attempt tells of; none if it tells of
    /// the other side or the network.
    pub(crate) fn of(e: &Error) -> Option<Self> {
        match Errno::from_raw(e.raw_os_error()?) {
            Errno::EADDRINUSE | Errno::EADDRNOTAVAIL => Some(Self::Ports),
            Errno::EMFILE | Errno::ENFILE => Some(Self::Descriptors),
            Errno::ENOBUFS | Errno::ENOMEM => Some(Self::Memory),
            _ => None,
        }
    }

    /// Returns the name of what is short.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Ports => "ports",
            Self::Descriptors => "descriptors",
            Self::Memory => "memory",
        }
    }

    /// Logs the shortage, unless one was logged within the last second.
    pub(crate) fn log(self, to: SocketAddr) {
        static LINES: Pace = Pace::new(1, LOG_INTERVAL);
        if LINES.take().is_none() {
            spdlog::warn!("http: this host is short, cannot connect", kv: {
                of = self.as_str(), address = to.to_string().as_str()
            });
        }
    }
}
