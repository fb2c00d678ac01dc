//! Model engines, as the daemon uses them.
//!
//! All calls to engines are in this module, so that other engines need another
//! adapter and nothing else.

use std::net::SocketAddr;

use bytes::BytesMut;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachioyard_wire::{
    CacheEventPage, EndpointReport, Order, OrderRefusal, StreamFrame, StreamProgress, StreamRequest,
};

use crate::client::{Call, HttpClient};
use crate::error::CallError;
use crate::prelude::*;

/// How long a stream's head may take to answer a new attempt, in milliseconds.
const START_TIMEOUT_MS: u64 = 5_000;
/// How long a cancellation may take, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// How long an engine may take to answer an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_000;
/// The longest line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// What an engine answered to a new attempt.
pub(crate) enum StreamStart {
    /// The engine has taken it; frames follow.
    Taken(FrameReader),
    /// The engine refused it and ran nothing.
    Refused {
        /// Its reason.
        why: String,
    },
    /// The engine has seen this attempt or a newer one.
    OldAttempt,
}

/// What an engine answered to an order.
pub(crate) enum OrderAnswer {
    /// It does what is ordered.
    Taken,
    /// It refused the order and changed nothing.
    Refused(OrderRefusal),
}

/// Calls model engines.
pub(crate) struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Makes an adapter over an HTTP client.
    pub(crate) fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Starts an attempt at the first stage of its chain.
    pub(crate) async fn start(
        &self,
        to: SocketAddr,
        req: &StreamRequest,
    ) -> Result<StreamStart, CallError> {
        let call = Call::new(Method::POST, to, "/v1/streams").json(req);
        let timeout = Duration::from_millis(START_TIMEOUT_MS);
        let response = tokio::time::timeout(timeout, self.client.open(call))
            .await
            .map_err(|_| CallError::Timeout { to })??;
        match response.status() {
            StatusCode::OK => Ok(StreamStart::Taken(FrameReader::new(
                to,
                response.into_body(),
            ))),
            StatusCode::CONFLICT => Ok(StreamStart::OldAttempt),
            StatusCode::SERVICE_UNAVAILABLE => Ok(StreamStart::Refused {
                why: "it takes no new streams".to_owned(),
            }),
            StatusCode::BAD_REQUEST => Ok(StreamStart::Refused {
                why: "it does not accept the request's form".to_owned(),
            }),
            status => Err(CallError::Status {
                to,
                status: status.as_u16(),
            }),
        }
    }

    /// Cancels all attempts of a stream up to one.
    pub(crate) async fn cancel(
        &self,
        to: SocketAddr,
        stream: StreamId,
        attempt: Attempt,
    ) -> Result<(), CallError> {
        let path = format!("/v1/streams/{stream}?attempt={attempt}");
        let call = Call::new(Method::DELETE, to, path);
        self.client
            .send(call, Duration::from_millis(CANCEL_TIMEOUT_MS))
            .await
            .map(|_| ())
    }

    /// Asks how far an engine is with a stream; none if it does not know it.
    pub(crate) async fn progress(
        &self,
        to: SocketAddr,
        stream: StreamId,
        timeout: Duration,
    ) -> Result<Option<StreamProgress>, CallError> {
        let call = Call::get(to, format!("/v1/streams/{stream}"));
        let answer = self.client.send(call, timeout).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.parse_success().map(Some)
    }

    /// Gives an engine an order; an error leaves open whether it was taken.
    pub(crate) async fn order(
        &self,
        to: SocketAddr,
        order: &Order,
    ) -> Result<OrderAnswer, CallError> {
        let call = Call::new(Method::POST, to, "/v1/orders").json(order);
        let timeout = Duration::from_millis(ORDER_TIMEOUT_MS);
        let answer = self.client.send(call, timeout).await?;
        match answer.status {
            StatusCode::CONFLICT => answer.parse().map(OrderAnswer::Refused),
            status if status.is_success() => Ok(OrderAnswer::Taken),
            status => Err(CallError::Status {
                to,
                status: status.as_u16(),
            }),
        }
    }

    /// Reads an endpoint's report.
    pub(crate) async fn report(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<EndpointReport, CallError> {
        self.client
            .send(Call::get(to, "/v1/report"), timeout)
            .await?
            .parse_success()
    }

    /// Reads the cache events after a number.
    pub(crate) async fn cache_events(
        &self,
        to: SocketAddr,
        after: u64,
        timeout: Duration,
    ) -> Result<CacheEventPage, CallError> {
        let call = Call::get(to, format!("/v1/cache-events?after={after}"));
        self.client.send(call, timeout).await?.parse_success()
    }
}

/// Reads the frames of one attempt, a line each.
pub(crate) struct FrameReader {
    to: SocketAddr,
    body: Incoming,
    buf: BytesMut,
}

impl FrameReader {
    fn new(to: SocketAddr, body: Incoming) -> Self {
        Self {
            to,
            body,
            buf: BytesMut::new(),
        }
    }

    /// Returns the next frame; none when the engine has closed the stream.
    ///
    /// A line that broke off is not a frame: a closed stream without an end frame
    /// is never a whole answer. This is safe to cancel.
    pub(crate) async fn next(&mut self) -> Result<Option<StreamFrame>, CallError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1);
                return self.parse(&line).map(Some);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(self.malformed("the line is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buf.extend_from_slice(data);
                    }
                }
                Some(Err(_)) => return Err(CallError::AnswerLost { to: self.to }),
                None => return Ok(None),
            }
        }
    }

    fn parse(&self, line: &[u8]) -> Result<StreamFrame, CallError> {
        serde_json::from_slice(line).map_err(|e| self.malformed(&e.to_string()))
    }

    fn malformed(&self, why: &str) -> CallError {
        CallError::Malformed {
            to: self.to,
            why: why.to_owned(),
        }
    }
}
