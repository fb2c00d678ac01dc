//! The errors of the HTTP client.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::StatusCode;

/// Reports why an HTTP call returned no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// The request is not valid HTTP, for example because of a space in its path.
    #[error("the request to {address}{path} is not valid HTTP: {source}")]
    Invalid {
        /// The address of the server.
        address: SocketAddr,
        /// The path of the request.
        path: String,
        /// The error of the HTTP library.
        source: ::http::Error,
    },
    /// The request body cannot be written as JSON.
    #[error("the request body cannot be written as JSON: {0}")]
    Encode(#[source] serde_json::Error),
    /// No connection was established, so no byte of the request was sent.
    #[error("cannot connect to {address}: {why}")]
    Connect {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the HTTP library.
        why: String,
    },
    /// The connection failed before the head of the answer arrived.
    #[error("the connection to {address} failed before an answer arrived: {why}")]
    NoAnswer {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the HTTP library.
        why: String,
    },
    /// The connection failed within the body of the answer.
    #[error("the body of the answer was cut off: {why}")]
    BrokenBody {
        /// The error of the HTTP library.
        why: String,
    },
    /// The answer did not arrive in time.
    #[error("no answer within {timeout:?}")]
    Timeout {
        /// The time limit.
        timeout: Duration,
    },
    /// The status of the answer is not a success.
    #[error("expected a success status, got {status}: {body}")]
    Status {
        /// The status code.
        status: StatusCode,
        /// The body as text.
        body: String,
    },
    /// The body of the answer does not decode to the expected type.
    #[error("cannot decode the answer '{text}': {source}")]
    Decode {
        /// The text that does not decode.
        text: String,
        /// The error of the decoder.
        source: serde_json::Error,
    },
}
