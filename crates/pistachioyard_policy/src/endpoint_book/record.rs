//! What endpoints say of themselves, and what peers pass on of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange, ServiceName};
use serde::{Deserialize, Serialize};

/// An endpoint as it stands in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Its id, the name of its object.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests, orders and questions.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is about to leave and takes no new requests.
    pub is_leaving: bool,
    /// The requests that it runs at once.
    pub slots: u32,
    /// What it says of its layers.
    pub state: EndpointReport,
}

/// What an endpoint says of its layers and its load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointReport {
    /// The layers that it can run now; none if it holds none.
    pub layers: Option<LayerRange>,
    /// The kind of its card.
    pub card: Option<Arc<str>>,
    /// Whether an order is being carried out.
    pub is_moving: bool,
    /// The orders that it has begun since its start; entries in the store do not tell,
    /// so there it stays as the last report or answer to an order left it.
    pub orders_begun: u64,
    /// The Unix time of its start, in ms; a new one means that it holds nothing of before.
    pub started_unix_ms: Option<u64>,
    /// How much slower than its card it runs; 1 if it is sound.
    pub slowdown: f64,
    /// The requests that wait.
    pub queued: u32,
    /// The requests that run.
    pub active: u32,
    /// The requests that hang here since an endpoint of their path does not answer:
    /// the request's id and the address of that endpoint.
    pub stalled: Vec<(Arc<str>, SocketAddr)>,
}

/// What a peer heard from an endpoint about its layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Hearsay {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that it can run; none if it holds none.
    pub layers: Option<LayerRange>,
    /// Whether an order is being carried out.
    pub is_moving: bool,
    /// The orders that it has begun since its start.
    pub orders_begun: u64,
    /// The Unix time of its start, in ms.
    pub started_unix_ms: Option<u64>,
    /// How much slower than its card it runs; 1 if it is sound.
    pub slowdown: f64,
    /// When the peer heard it, on this process's clock.
    pub heard_at: Instant,
}

/// What changed with an endpoint's entry, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointNews {
    /// It is new.
    Joined,
    /// It has restarted under its id.
    Restarted,
    /// It is about to leave.
    Leaves,
    /// It holds other layers.
    Layers,
    /// Only its heartbeat.
    Renewed,
}
