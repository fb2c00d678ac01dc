//! Why an HTTP call gave no usable answer.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::StatusCode;

/// Why an HTTP call gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// The request is not valid HTTP, such as for a space in its path.
    #[error("the request to {address}{path} is not valid: {source}")]
    Invalid {
        /// The server.
        address: SocketAddr,
        /// The path as given.
        path: String,
        /// The library's reason.
        source: ::http::Error,
    },
    /// The body to send cannot be written as JSON.
    #[error("the body cannot be written as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// No connection was made, so no byte of the request was sent.
    #[error("cannot connect to {address}: {why}")]
    Connect {
        /// The server.
        address: SocketAddr,
        /// The library's reason.
        why: String,
    },
    /// The connection broke before the answer's head had come.
    #[error("{address} gave no answer: {why}")]
    NoAnswer {
        /// The server.
        address: SocketAddr,
        /// The library's reason.
        why: String,
    },
    /// The connection broke within the answer's body.
    #[error("the answer broke off: {why}")]
    BrokenBody {
        /// The library's reason.
        why: String,
    },
    /// The answer did not come in time.
    #[error("no answer within {timeout:?}")]
    Timeout {
        /// The time allowed.
        timeout: Duration,
    },
    /// The answer's status is not a success.
    #[error("the answer has status {status}: {body}")]
    Status {
        /// The status.
        status: StatusCode,
        /// The body as text.
        body: String,
    },
    /// The answer's body is not what was expected.
    #[error("the answer '{text}' cannot be read: {source}")]
    Decode {
        /// The text that cannot be read.
        text: String,
        /// The decoder's reason.
        source: serde_json::Error,
    },
}
