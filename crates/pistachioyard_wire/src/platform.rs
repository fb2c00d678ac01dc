//! The protocol between the router and the platform's object API and host list.
//!
//! HTTP with JSON bodies:
//! `GET /objects/{key}`, `PUT /objects/{key}` with an [`ObjectWrite`],
//! `GET /objects?prefix=` and
//! `GET /watch?prefix=&after=&wait_ms=` with a [`WatchPage`], and
//! `GET /hosts` with a list of [`HostRecord`]s. Keys contain `/`, which is encoded
//! as `%2F` in paths.

mod host;
mod object;

pub use host::{HostKind, HostRecord, HostState};
pub use object::{ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer, WriteCondition};
