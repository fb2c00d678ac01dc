//! A stand-in of a plain service that counts the effects of its calls.
//!
//! It does not deduplicate, so an operation that was sent twice shows a count of
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

/// The largest call body read, in bytes.
const MAX_BODY_BYTES: usize = 1_000_000;

/// Settings of the service stand-in.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceArgs {
    /// Where it listens.
    #[arg(long)]
    pub listen: SocketAddr,
    /// The endpoint that it is.
    #[arg(long)]
    pub endpoint: EndpointId,
    /// The host that it runs on.
    #[arg(long)]
    pub host: HostName,
    /// The data centre that it stands in.
    #[arg(long)]
    pub data_centre: DataCentre,
    /// The service that it answers for.
    #[arg(long)]
    pub service: ServiceName,
    /// The time from a call's effect to its answer, in milliseconds.
    #[arg(default_value_t = 0, long)]
    pub latency_ms: u64,
}

/// Serves the service stand-in until the process ends.
///
/// # Errors
///
/// Fails when the address cannot be bound or the server ends on its own.
pub async fn run_service(args: ServiceArgs) -> Result<(), ServeError> {
    let listen = args.listen;
    let cx = Arc::new(ServiceState::new(args));
    serve_forever(api::describe()?, cx, listen, MAX_BODY_BYTES).await
}
