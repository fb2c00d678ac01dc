//! A stand-in of the platform: versioned objects, watches and a host list.
//!
//! The border protocol is described in [`pistachioyard_wire`]. Faults are set by
//! `PUT /control/faults` ([`PlatformFaults`]), hosts by `PUT /control/hosts`, and
//! `GET /control/counts` answers [`CallCounts`].

mod api;
mod control;
mod state;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;

pub use control::{CallCounts, PlatformFaults};

use crate::server::{ServeError, serve_forever};
use state::PlatformState;

/// The largest request body read, in bytes; a full value fits however it is escaped.
const MAX_BODY_BYTES: usize = 8_000_000;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, clap::Args)]
pub struct PlatformArgs {
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
}

/// Serves the platform stand-in until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or the server ends on its own.
pub async fn run_platform(args: PlatformArgs) -> Result<(), ServeError> {
    let cx = Arc::new(PlatformState::new());
    serve_forever(api::describe()?, cx, args.listen, MAX_BODY_BYTES).await
}
