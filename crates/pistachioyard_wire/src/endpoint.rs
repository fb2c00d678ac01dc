//! What engines and plain services exchange with the router.
//!
//! An engine speaks HTTP with JSON bodies:
//!
//! - `POST /v1/streams` with a [`StreamRequest`] starts an attempt at its first
//!   stage; the answer is one [`StreamFrame`] a line until an end or a failure.
//!   409 answers an attempt that is not newer than one already seen, 503 one
//!   that the engine refuses without running it.
//! - `GET /v1/streams/{stream}` gives a [`StreamProgress`],
//!   `DELETE /v1/streams/{stream}?attempt=` cancels up to that attempt.
//! - `GET /v1/streams/{stream}/kv` exports a [`KvSnapshot`], `PUT` imports one.
//! - `GET /v1/report` gives an [`EndpointReport`]; services answer it as well.
//! - `GET /v1/cache-events?after=` gives a [`CacheEventPage`].
//! - `POST /v1/orders` takes an [`Order`]; 409 carries an [`OrderRefusal`].
//!
//! A plain service takes `POST /v1/calls/{call}` with the header
//! `idempotency-key` and any body, and answers with any body.

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
