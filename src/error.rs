//! Errors of calls to other processes.

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
