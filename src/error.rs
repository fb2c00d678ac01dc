//! Failures of calls to other processes.

/// Why a call to another process gave no usable answer.
///
/// The kinds differ in whether the other side can have acted on the call; that
/// decides what a caller may be told (`docs/design/outcomes.md`).
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// No connection was made, so no byte of the call was sent.
    #[error("no connection to {to}")]
    NotSent {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// The call may have been received; its answer was lost.
    #[error("the answer of {to} was lost")]
    AnswerLost {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// The call may have been received; no answer came in time.
    #[error("{to} did not answer in time")]
    Timeout {
        /// The address that was called.
        to: std::net::SocketAddr,
    },
    /// The answer is not of the expected form.
    #[error("the answer of {to} cannot be read: {why}")]
    Malformed {
        /// The address that was called.
        to: std::net::SocketAddr,
        /// The parser's reason.
        why: String,
    },
    /// The other side answered with a status that the protocol does not foresee.
    #[error("{to} answered with status {status}")]
    Status {
        /// The address that was called.
        to: std::net::SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}
