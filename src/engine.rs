//! The adapter for model engines.
//!
//! All calls to engines are in this module, so that support for another engine needs only
//! another adapter.

use std::net::SocketAddr;

use bytes::BytesMut;
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachioyard_wire::{
    CacheEventPage, EndpointReport, Order, OrderRefusal, StreamFrame, StreamProgress, StreamRequest,
};

use crate::client::{Call, HttpClient, too_long};
use crate::error::{AnswerPart, CallError};
use crate::prelude::*;

/// The timeout of the first stage's response to a new attempt, in milliseconds.
const START_TIMEOUT_MS: u64 = 5_000;
/// The timeout of a cancellation, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;
/// The timeout of an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 1_000;
/// The maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// An engine's response to a new attempt.
pub(crate) enum StreamStart {
    /// The engine accepted the attempt; frames follow.
    Accepted(FrameReader),
    /// The engine refused the attempt and ran nothing.
    Refused {
        /// The reason for the refusal.
        why: String,
    },
    /// The engine has already seen this attempt or a newer one.
    OldAttempt,
}

/// An engine's response to an order.
pub(crate) enum OrderAnswer {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order and changed nothing.
    Refused(OrderRefusal),
}

/// Calls model engines.
pub(crate) struct EngineClient {
    client: HttpClient,
}

impl EngineClient {
    /// Creates an adapter over an HTTP client.
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
            StatusCode::OK => Ok(StreamStart::Accepted(FrameReader::new(
                to,
                response.into_body(),
            ))),
            StatusCode::CONFLICT => Ok(StreamStart::OldAttempt),
            StatusCode::SERVICE_UNAVAILABLE => Ok(StreamStart::Refused {
                why: "the engine accepts no new streams".to_owned(),
            }),
            StatusCode::BAD_REQUEST => Ok(StreamStart::Refused {
                why: "the engine rejects the request as malformed".to_owned(),
            }),
            status => Err(CallError::Status {
                to,
                status: status.as_u16(),
            }),
        }
    }

    /// Cancels the attempts of a stream up to and including `attempt`.
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

    /// Reads an engine's progress with a stream; `None` if the engine does not know the stream.
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

    /// Sends an order to an engine. After an error the order may or may not have been accepted.
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
            status if status.is_success() => Ok(OrderAnswer::Accepted),
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

    /// Reads the cache events after the sequence number `after`.
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

/// Reads the frames of one attempt, one frame per line.
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

    /// Returns the next frame, or `None` when the engine has closed the stream.
    ///
    /// An incomplete last line is not a frame: a stream that closes without an end frame is never
    /// a complete answer. This method is cancel-safe.
    pub(crate) async fn next(&mut self) -> Result<Option<StreamFrame>, CallError> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1);
                return self.parse(&line).map(Some);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(too_long(self.to, AnswerPart::Event, MAX_LINE_BYTES));
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
        serde_json::from_slice(line).map_err(|e| CallError::Malformed {
            to: self.to,
            why: e.to_string(),
        })
    }
}
