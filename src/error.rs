//! Errors of calls to other processes.

use crate::shortage::Shortage;

/// The reason why a call to another process gave no usable response.
///
/// The variants differ in whether the other side may have acted on the call, which decides what
/// outcome a caller may be given (`docs/design/outcomes.md`).
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection was established, so no byte of the call was sent.
    #[error("no connection to {to}")]
    NotSent {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// The connection was refused, so no process listens there; no byte of the call was sent.
    #[error("{to} refused the connection")]
    Refused {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// This host could not open a connection for want of something of its own, so no byte of the
    /// call was sent.
    #[error("no connection to {to}, this host is short of {}", of.as_str())]
    Shortage {
        /// The address that was called.
        to: std::net::SocketAddr,
        /// What the host lacks.
        of: Shortage,
    },
    /// The call may have been received; the response was lost.
    #[error("the response of {to} was lost")]
    AnswerLost {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// The call may have been received; no response arrived before the timeout.
    #[error("{to} did not respond before the timeout")]
    Timeout {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// The call may have been received; a part of the response is longer than its limit.
    #[error("the {} of the response of {to} is longer than {max_bytes} bytes", part.as_str())]
    TooLong {
        /// The address that was called.
        to: std::net::SocketAddr,
        /// The part of the response.
        part: AnswerPart,
        /// The limit, in bytes.
        max_bytes: usize,
    },
    /// The response could not be parsed.
    #[error("cannot parse the response of {to}: {why}")]
    Malformed {
        /// The address that was called.
        to: std::net::SocketAddr,
        /// The parser's message.
        why: String,
    },
    /// The response has an unexpected status.
    #[error("{to} answered with status {status}")]
    Status {
        /// The address that was called.
        to: std::net::SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}

impl CallError {
    /// Returns the error for a connection attempt that failed, and logs what this host lacks.
    pub(crate) fn of_connect(to: std::net::SocketAddr, e: &std::io::Error) -> Self {
        match Shortage::of(e) {
            Some(of) => {
                of.log(to);
                Self::Shortage { to, of }
            }
            None if e.kind() == std::io::ErrorKind::ConnectionRefused => Self::Refused { to },
            None => Self::NotSent { to },
        }
    }

    /// Returns whether the other side answered, though not with a usable response.
    pub(crate) fn is_answered(&self) -> bool {
        match self {
            Self::Malformed { .. } | Self::Status { .. } | Self::TooLong { .. } => true,
            Self::Refused { .. }
            | Self::NotSent { .. }
            | Self::Shortage { .. }
            | Self::AnswerLost { .. }
            | Self::Timeout { .. } => false,
        }
    }
}

/// A part of a response that has a limit of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerPart {
    /// The whole body.
    Body,
    /// One event or line of a stream.
    Event,
    /// The status line and the headers.
    Head,
}

impl AnswerPart {
    /// Returns the name of the part as text for messages.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Event => "event",
            Self::Head => "head",
        }
    }
}
