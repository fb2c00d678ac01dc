//! The protocol between the router and the platform's object API and host list.
//!
//! The platform serves HTTP with JSON bodies:
//!
//! - `GET /objects/{key}` returns an [`ObjectRecord`].
//! - `PUT /objects/{key}` takes an [`ObjectWrite`] and returns a [`WriteAnswer`].
//! - `GET /objects?prefix=` returns a list of [`ObjectRecord`]s.
//! - `GET /watch?prefix=&after=&wait_ms=` returns a [`WatchPage`].
//! - `GET /hosts` returns a list of [`HostRecord`]s.
//!
//! Keys contain `/`, which is encoded as `%2F` in paths.

mod host;
mod object;

pub use host::{HostKind, HostRecord, HostState, decode_host_list};
pub use object::{ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer, WriteCondition};
