//! The HTTP client, built on hyper-util.
//!
//! The daemon binds outgoing connections to its own IP address. An error says whether any byte
//! of the call may have been sent.

use std::error::Error;
use std::net::{IpAddr, SocketAddr};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{AnswerPart, CallError};
use crate::final_response::{FinalResponse, status_lost};
use crate::interim_limit::InterimLimit;
use crate::memory::{ByteBuffer, HeldMemory, MemoryKind, SharedMemory};
use crate::outgoing::Connector;
use crate::prelude::*;

/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is kept in the pool, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 20_000;
/// The maximum size of the head of a response, in bytes; several times that of a caller's
/// request, whose headers an endpoint may repeat.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// The maximum size of a response body that is read whole, in bytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8_000_000;
/// The memory of all response bodies that a client without a share of its own reads whole at the
/// same time, in bytes.
const ANSWER_MEMORY_BYTES: usize = 32_000_000;

/// Says whether connections are reused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reuse {
    /// Keeps connections in a pool. Suits calls that may be retried.
    Pooled,
    /// Opens a connection for each call, so that a failed connection attempt proves that nothing
    /// was sent.
    Fresh,
}

/// An HTTP request to another process.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The address to call.
    pub(crate) to: SocketAddr,
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) path: String,
    /// The additional headers.
    pub(crate) headers: Vec<(&'static str, String)>,
    /// The body.
    pub(crate) body: Bytes,
}

impl Call {
    /// Creates a call without a body.
    pub(crate) fn new(method: Method, to: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            to,
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Creates a `GET` call.
    pub(crate) fn get(to: SocketAddr, path: impl Into<String>) -> Self {
        Self::new(Method::GET, to, path)
    }

    /// Sets a JSON body and its content type.
    pub(crate) fn json(mut self, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("wire types serialize to JSON");
        self.headers
            .push(("content-type", "application/json".to_owned()));
        self.body = body.into();
        self
    }
}

/// A response whose body was read whole.
#[derive(Debug)]
pub(crate) struct Answer {
    to: SocketAddr,
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The headers.
    pub(crate) headers: http::HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
}

impl Answer {
    /// Parses the body as JSON.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Malformed {
            to: self.to,
            why: e.to_string(),
        })
    }

    /// Parses the body as JSON if the status is a success.
    pub(crate) fn parse_success<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if self.status.is_success() {
            self.parse()
        } else {
            Err(CallError::Status {
                to: self.to,
                status: self.status.as_u16(),
            })
        }
    }
}

/// Sends calls to other processes.
#[derive(Clone)]
pub(crate) struct HttpClient {
    inner: Client<Connector, Full<Bytes>>,
    memory: Arc<SharedMemory>,
}

impl HttpClient {
    /// Creates a client whose connections are bound to `local`.
    pub(crate) fn new(local: Option<IpAddr>, reuse: Reuse) -> Self {
        let connector = Connector::new(local, CONNECT_TIMEOUT);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.http1_max_buf_size(MAX_HEAD_BYTES);
        match reuse {
            Reuse::Pooled => {
                builder.pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS));
            }
            Reuse::Fresh => {
                builder.pool_max_idle_per_host(0);
                builder.retry_canceled_requests(false);
            }
        }
        Self {
            inner: builder.build(connector),
            memory: SharedMemory::new(MemoryKind::OwnCalls, ANSWER_MEMORY_BYTES),
        }
    }

    /// Makes the client take the memory of response bodies from a share.
    pub(crate) fn with_memory(mut self, memory: &Arc<SharedMemory>) -> Self {
        self.memory = memory.clone();
        self
    }

    /// Sends a call and returns the response once its head has arrived. The body is not read.
    pub(crate) async fn open(&self, call: Call) -> Result<FinalResponse, CallError> {
        let to = call.to;
        let mut req = Request::builder()
            .method(call.method)
            .uri(format!("http://{to}{}", call.path));
        for (name, value) in &call.headers {
            req = req.header(*name, value);
        }
        let mut req = req
            .body(Full::new(call.body))
            .map_err(|_| CallError::NotSent { to })?;
        let connection = capture_connection(&mut req);
        let interim = InterimLimit::of(&mut req);
        let response = interim.bound(to, self.inner.request(req)).await?;
        let response = response.map_err(|e| {
            if e.is_connect() {
                let cause = e.source().and_then(|source| source.downcast_ref());
                return match cause.map(|e| CallError::of_connect(to, e)) {
                    Some(e @ CallError::Shortage { .. }) => e,
                    _ => CallError::NotSent { to },
                };
            }
            match e.source().and_then(|source| source.downcast_ref()) {
                Some(e) => head_lost(to, e),
                None => CallError::AnswerLost { to },
            }
        })?;
        let checked = FinalResponse::check(to, response);
        if checked.is_err()
            && let Some(connection) = &*connection.connection_metadata()
        {
            // What follows on the connection may belong to this call.
            connection.poison();
        }
        checked
    }

    /// Sends a call and reads the whole response within `timeout`.
    pub(crate) async fn send(&self, call: Call, timeout: Duration) -> Result<Answer, CallError> {
        let to = call.to;
        tokio::time::timeout(timeout, self.send_unbounded(call))
            .await
            .map_err(|_| CallError::Timeout { to })?
    }

    async fn send_unbounded(&self, call: Call) -> Result<Answer, CallError> {
        let to = call.to;
        let (head, body) = self.open(call).await?.into_parts();
        let body = read_whole(to, body, MAX_ANSWER_BYTES, &self.memory).await?;
        Ok(Answer {
            to,
            status: head.status,
            headers: head.headers,
            body,
        })
    }
}

/// Reads a body whole; one that is longer than `max_bytes`, or than the memory for all answers
/// allows, ends its connection.
pub(crate) async fn read_whole(
    to: SocketAddr,
    mut body: Incoming,
    max_bytes: usize,
    memory: &Arc<SharedMemory>,
) -> Result<Bytes, CallError> {
    let mut buf = ByteBuffer::new(HeldMemory::new(memory.clone(), to));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallError::AnswerLost { to })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if buf.len() + data.len() > max_bytes {
            return Err(too_long(to, AnswerPart::Body, max_bytes));
        }
        if !buf.push(data) {
            return Err(CallError::TooLong {
                to,
                part: AnswerPart::Body,
                max_bytes: buf.len(),
            });
        }
    }
    Ok(buf.freeze())
}

/// Returns the error for a call that was sent and whose response did not begin.
pub(crate) fn head_lost(to: SocketAddr, e: &hyper::Error) -> CallError {
    if e.is_parse_too_large() {
        too_long(to, AnswerPart::Head, MAX_HEAD_BYTES)
    } else if e.is_parse_status() {
        status_lost(to, "the status cannot be read")
    } else {
        CallError::AnswerLost { to }
    }
}

/// Logs that a part of an answer is longer than its limit, and returns the error.
pub(crate) fn too_long(to: SocketAddr, part: AnswerPart, max_bytes: usize) -> CallError {
    let address = to.to_string();
    spdlog::warn!("http: answer too long, connection closed", kv: {
        address = address.as_str(), part = part.as_str(), max_bytes
    });
    CallError::TooLong {
        to,
        part,
        max_bytes,
    }
}
