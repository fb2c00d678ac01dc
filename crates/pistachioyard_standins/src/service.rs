//! A stand-in for a plain service that counts the effects of its calls.
//!
//! It does not deduplicate calls, so an operation that is sent twice shows a count of
//! two in `GET /control/effects`.

mod api;
mod control;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use pistachioyard_wire::{DataCentre, EndpointId, HostName, ServiceName};

pub use control::{EffectAnswer, EffectRecord, ServiceFaults};

use crate::server::{ServeError, serve_forever};
use state::ServiceState;

/// The maximum size of a call body, in bytes.
const MAX_BODY_BYTES: usize = 1_000_000;

/// Holds the arguments of the service stand-in.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceArgs {
    /// The address to listen on.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The id of the endpoint.
    #[arg(long)]
    pub endpoint: EndpointId,
    /// The host that the service runs on.
    #[arg(long)]
    pub host: HostName,
    /// The data centre that the service runs in.
    #[arg(long)]
    pub data_centre: DataCentre,
    /// The name of the service.
    #[arg(long)]
    pub service: ServiceName,
    /// The time from the effect of a call to its answer, in milliseconds.
    #[arg(default_value_t = 0, long)]
    pub latency_ms: u64,
}

/// Runs the service stand-in until the process ends.
///
/// # Errors
///
/// Fails when the server cannot listen on the address or ends unexpectedly.
pub async fn run_service(args: ServiceArgs) -> Result<(), ServeError> {
    let listen = args.listen;
    let cx = Arc::new(ServiceState::new(args));
    serve_forever(api::describe()?, cx, listen, MAX_BODY_BYTES).await
}
