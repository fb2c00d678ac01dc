//! A TCP proxy that injects faults into the connections it forwards.
//!
//! Routes are given as arguments or added by `PUT /control/routes` with a list of
//! [`Route`]s. `PUT /control/faults` replaces the list of [`FaultRule`]s; the new
//! list applies immediately, to open connections as well as to new ones.
//!
//! The proxy connects to a target from the loopback address of the accepted peer, so
//! that rules by source also work at a second proxy behind it.

mod api;
mod connection;
mod control;
mod endless;
mod pipe;
mod state;
mod syn_filter;

use std::net::SocketAddr;
use std::sync::Arc;

pub use control::{FaultKind, FaultRule, ParseRouteError, Route};

use crate::server::{ServeError, serve_forever};
use state::ProxyState;

/// The maximum size of a control request, in bytes.
const MAX_BODY_BYTES: usize = 1_000_000;

/// Holds the arguments of the fault proxy.
#[derive(Clone, Debug, clap::Args)]
pub struct ProxyArgs {
    /// The address to listen on for control calls.
    #[arg(long)]
    pub listen_control: SocketAddr,
    /// A route in the form `LISTEN=TARGET`, such as `127.0.0.2:80=127.0.0.3:80`.
    #[arg(long = "route")]
    pub routes: Vec<Route>,
}

/// Serves the fault proxy until the process ends.
///
/// # Errors
///
/// Fails when an address cannot be bound or the control server stops unexpectedly.
pub async fn run_proxy(args: ProxyArgs) -> Result<(), ServeError> {
    let state = Arc::new(ProxyState::new());
    for route in args.routes {
        state.add_route(route).await?;
    }
    serve_forever(api::describe()?, state, args.listen_control, MAX_BODY_BYTES).await
}
