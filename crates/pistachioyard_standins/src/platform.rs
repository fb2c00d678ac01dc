//! A stand-in for the platform: versioned objects, watches and a host list.
//!
//! The protocol is defined in [`pistachioyard_wire`]. `PUT /control/faults` sets the
//! faults ([`PlatformFaults`]), `PUT /control/hosts` sets the host list, and
//! `GET /control/counts` returns [`CallCounts`].

mod api;
mod control;
mod state;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;

pub use control::{CallCounts, PlatformFaults};

use crate::server::{ServeError, serve_forever};
use state::PlatformState;

/// The maximum size of a request body, in bytes; fits the largest value in any JSON escaping.
const MAX_BODY_BYTES: usize = 8_000_000;

/// Holds the arguments of the platform stand-in.
#[derive(Clone, Debug, clap::Args)]
pub struct PlatformArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
}

/// Serves the platform stand-in until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or the server stops unexpectedly.
pub async fn run_platform(args: PlatformArgs) -> Result<(), ServeError> {
    let cx = Arc::new(PlatformState::new());
    serve_forever(api::describe()?, cx, args.listen, MAX_BODY_BYTES).await
}
