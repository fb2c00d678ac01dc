//! The protocol between the router and its endpoints, engines and plain services.
//!
//! An engine serves HTTP with JSON bodies:
//!
//! - `POST /v1/streams` with a [`StreamRequest`] starts an attempt at its first
//!   stage. The response has one [`StreamFrame`] per line until an end or a failure.
//!   The status is 409 if the engine has already seen this attempt or a newer one,
//!   and 503 if the engine refuses the attempt without running it.
//! - `GET /v1/streams/{stream}` returns a [`StreamProgress`];
//!   `DELETE /v1/streams/{stream}?attempt=` cancels all attempts up to that one.
//! - `GET /v1/streams/{stream}/kv` exports a [`KvSnapshot`], `PUT` imports one.
//! - `GET /v1/report` returns an [`EndpointReport`]; plain services serve it as well.
//! - `GET /v1/cache-events?after=` returns a [`CacheEventPage`].
//! - `POST /v1/orders` takes an [`Order`]; a response with status 409 contains an
//!   [`OrderRefusal`].
//!
//! A plain service serves `POST /v1/calls/{call}` with the header
//! `idempotency-key`. The request and response bodies are arbitrary.

mod cache;
mod order;
mod report;
mod stream;

pub use cache::{CacheEvent, CacheEventKind, CacheEventPage};
pub use order::{Order, OrderKind, OrderRefusal};
pub use report::{EndpointReport, LoadRecord};
pub use stream::{
    FrameBody, KvSnapshot, StageFailure, StageRef, StreamFrame, StreamProgress, StreamRequest,
};
