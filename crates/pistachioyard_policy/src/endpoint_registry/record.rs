//! Defines the state of endpoints as the store holds it, endpoints report it and peers pass it
//! on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange, ServiceName};
use serde::{Deserialize, Serialize};

use super::notices::EndpointRun;
use crate::store_position::StorePosition;

/// Holds an endpoint's record in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Its id, which is also the name of its object.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address at which it accepts requests, orders and probes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is leaving and accepts no new requests.
    pub is_leaving: bool,
    /// The number of requests that it can run at once.
    pub slots: u32,
    /// The state of its layers and its load.
    pub state: EndpointReport,
    /// The store's position at the last change of the record.
    #[serde(default)]
    pub changed_at: StorePosition,
}

impl EndpointRecord {
    /// Returns the run of the endpoint that the record describes.
    pub fn run(&self) -> EndpointRun {
        EndpointRun {
            endpoint: self.endpoint.clone(),
            started_unix_ms: self.state.started_unix_ms,
        }
    }

    /// Returns whether another endpoint is gone because this one has its address now. It is not if
    /// it started later, or if only this one does not tell its start: an entry of another writer
    /// may name the address of any endpoint.
    pub(super) fn takes_address_of(&self, other: &Self) -> bool {
        let is_later = match (self.state.started_unix_ms, other.state.started_unix_ms) {
            (Some(own), Some(others)) => own >= others,
            (own, others) => own.is_some() || others.is_none(),
        };
        self.address == other.address && self.endpoint != other.endpoint && is_later
    }

    /// Returns whether a known record shows that this one is from an older copy of the store:
    /// its endpoint or address belongs to a later run, or the endpoint is leaving by now.
    pub fn is_outdated_by(&self, known: &Self) -> bool {
        let is_same = known.endpoint == self.endpoint;
        let (started, known_started) = (self.state.started_unix_ms, known.state.started_unix_ms);
        let is_earlier_run = started
            .zip(known_started)
            .is_some_and(|(s, known)| s < known);
        let has_stayed = started == known_started && known.is_leaving && !self.is_leaving;
        is_earlier_run && (is_same || known.address == self.address) || is_same && has_stayed
    }
}

/// Holds an endpoint's report of its layers and its load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointReport {
    /// The layers that it can run now, if any.
    pub layers: Option<LayerRange>,
    /// The kind of its card.
    pub card: Option<Arc<str>>,
    /// Whether it is carrying out an order.
    pub is_moving: bool,
    /// The number of orders that it has begun since its start. Records in the store do not
    /// carry it, so the value from the last report or answer to an order is kept.
    pub orders_begun: u64,
    /// The Unix time of its start, in ms; a new value means that its earlier state is lost.
    pub started_unix_ms: Option<u64>,
    /// The factor by which it runs slower than its card should; 1 if it is healthy.
    pub slowdown: f64,
    /// The number of waiting requests.
    pub queued: u32,
    /// The number of running requests.
    pub active: u32,
    /// The requests that are stalled here because an endpoint of their path does not answer:
    /// the request's id and the address of that endpoint.
    pub stalled: Vec<(Arc<str>, SocketAddr)>,
}

/// Holds an endpoint's state as a peer passed it on.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that it can run, if any.
    pub layers: Option<LayerRange>,
    /// Whether it is carrying out an order.
    pub is_moving: bool,
    /// The number of orders that it has begun since its start.
    pub orders_begun: u64,
    /// The Unix time of its start, in ms.
    pub started_unix_ms: Option<u64>,
    /// The factor by which it runs slower than its card should; 1 if it is healthy.
    pub slowdown: f64,
    /// When the peer received it from the endpoint, by this process's clock.
    pub heard_at: Instant,
}

/// Says what changed with an endpoint's record, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointChange {
    /// The endpoint is new.
    Joined,
    /// The endpoint restarted under the same id.
    Restarted,
    /// The endpoint is leaving.
    Leaves,
    /// The endpoint holds different layers.
    Layers,
    /// The endpoint is new, and its service is not named.
    SetAside,
    /// Only the heartbeat was renewed.
    Renewed,
    /// The record is older than what is known, and was ignored.
    Outdated,
}

/// Says what is known of a run of an endpoint that does not answer a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunState {
    /// It answers other calls.
    Sound,
    /// It has not answered a probe yet.
    Silent,
    /// It has been silent for too long to be sound, is gone, or has started anew.
    Ended,
}
