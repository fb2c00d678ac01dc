//! Tracks the memory that the requests of all entries use on each card.
//!
//! Load pattern: hundreds of entries give out the same memory. An entry knows the load of each
//! peer in its data centre, and of the other data centres one sum each, so what it is told does
//! not grow with the fleet.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EndpointId, EntryId};

use super::path_choice::PathStage;
use super::reading::ReadingBacklog;

/// The share of a request's expected answer that counts from the start, since answers
/// grow from nothing to their full length and requests end at different times.
const ANSWER_SHARE: f64 = 0.75;
/// How long the sum of a data centre counts after it was told.
const CENTRE_TTL: Duration = Duration::from_secs(4);

/// Holds the size of a request, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestSize {
    /// The length of the prompt.
    pub prompt: f64,
    /// The expected length of the answer.
    pub answer: f64,
}

impl RequestSize {
    /// Returns the number of tokens that the request is expected to keep in memory.
    pub fn resident_tokens(self) -> f64 {
        self.prompt + ANSWER_SHARE * self.answer
    }
}

/// Holds the load in flight at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Load {
    requests: u32,
    token_layers: f64,
}

impl Load {
    fn add(&mut self, requests: u32, token_layers: f64) {
        self.requests = self.requests.saturating_add(requests);
        self.token_layers += token_layers;
    }

    fn subtract(&mut self, requests: u32, token_layers: f64) {
        self.requests = self.requests.saturating_sub(requests);
        self.token_layers -= token_layers;
    }
}

/// Holds the load of one entry or data centre: the requests and token-layers at each endpoint.
pub type LoadShare = HashMap<EndpointId, (u32, f64)>;

/// Tracks what this entry and its peers have in flight at each endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: HashMap<EndpointId, Load>,
    /// The load of the peers in this entry's data centre, and its sum.
    peers: BTreeMap<EntryId, LoadShare>,
    peer_sum: HashMap<EndpointId, Load>,
    /// The sums of the other data centres.
    centres: BTreeMap<DataCentre, (LoadShare, Instant)>,
    reading: ReadingBacklog,
}

impl LoadTracker {
    /// Returns the prompts that are being read.
    pub fn reading(&self) -> &ReadingBacklog {
        &self.reading
    }

    /// Returns the prompts that are being read, to change them.
    pub fn reading_mut(&mut self) -> &mut ReadingBacklog {
        &mut self.reading
    }

    /// Adds a request to each stage of its path.
    pub fn begin(&mut self, stages: &[PathStage], size: RequestSize) {
        for stage in stages {
            let load = self.own.entry(stage.endpoint.clone()).or_default();
            load.requests += 1;
            load.token_layers += size.resident_tokens() * f64::from(stage.layers.len());
        }
    }

    /// Removes a request that [`Self::begin`] added.
    pub fn end(&mut self, stages: &[PathStage], size: RequestSize) {
        for stage in stages {
            let Some(load) = self.own.get_mut(&stage.endpoint) else {
                continue;
            };
            load.requests = load.requests.saturating_sub(1);
            load.token_layers -= size.resident_tokens() * f64::from(stage.layers.len());
            if load.requests == 0 {
                self.own.remove(&stage.endpoint);
            }
        }
    }

    /// Adds a request at an endpoint of a plain service.
    pub fn begin_plain(&mut self, endpoint: &EndpointId) {
        self.own.entry(endpoint.clone()).or_default().requests += 1;
    }

    /// Removes a request that [`Self::begin_plain`] added.
    pub fn end_plain(&mut self, endpoint: &EndpointId) {
        if let Some(load) = self.own.get_mut(endpoint) {
            load.requests = load.requests.saturating_sub(1);
            if load.requests == 0 {
                self.own.remove(endpoint);
            }
        }
    }

    /// Returns this entry's own load (endpoint, requests, token-layers), to send to its peers.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, u32, f64)> {
        let own = self.own.iter();
        own.map(|(endpoint, load)| (endpoint, load.requests, load.token_layers))
    }

    /// Returns the load of this entry's data centre (endpoint, requests, token-layers), to send
    /// to peers elsewhere.
    pub fn centre(&self) -> impl Iterator<Item = (&EndpointId, u32, f64)> {
        let only_at_peers = self.peer_sum.keys();
        let only_at_peers = only_at_peers.filter(|endpoint| !self.own.contains_key(*endpoint));
        let endpoints = self.own.keys().chain(only_at_peers);
        endpoints.map(|endpoint| {
            let (own, peers) = (self.own.get(endpoint), self.peer_sum.get(endpoint));
            let loads = own.into_iter().chain(peers);
            let (requests, token_layers) = loads.fold((0, 0.0), |(requests, used), load| {
                (requests + load.requests, used + load.token_layers)
            });
            (endpoint, requests, token_layers)
        })
    }

    /// Replaces the load that a peer in this entry's data centre has in flight.
    pub fn set_peer(&mut self, peer: EntryId, share: LoadShare) {
        self.forget_share(&peer);
        for (endpoint, (requests, token_layers)) in &share {
            let sum = self.peer_sum.entry(endpoint.clone()).or_default();
            sum.add(*requests, *token_layers);
        }
        self.peers.insert(peer, share);
    }

    /// Removes the load of a peer that is gone.
    pub fn forget_peer(&mut self, peer: &EntryId) {
        self.reading.forget_peer(peer);
        self.forget_share(peer);
    }

    fn forget_share(&mut self, peer: &EntryId) {
        for (endpoint, (requests, token_layers)) in self.peers.remove(peer).into_iter().flatten() {
            let Some(sum) = self.peer_sum.get_mut(&endpoint) else {
                continue;
            };
            sum.subtract(requests, token_layers);
            if sum.requests == 0 {
                self.peer_sum.remove(&endpoint);
            }
        }
    }

    /// Replaces the sum of another data centre.
    pub fn set_centre(&mut self, centre: DataCentre, share: LoadShare, now: Instant) {
        self.centres.insert(centre, (share, now));
    }

    /// Removes the sums of data centres from which nothing has been heard for long.
    pub fn expire_centres(&mut self, now: Instant) {
        self.reading.expire_centres(now);
        self.centres
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < CENTRE_TTL);
    }

    /// Returns the number of requests in flight at an endpoint, from all entries.
    pub fn requests(&self, endpoint: &EndpointId) -> u32 {
        self.total(endpoint).requests
    }

    /// Returns the number of token-layers in use at an endpoint, from all entries.
    pub fn token_layers(&self, endpoint: &EndpointId) -> f64 {
        self.total(endpoint).token_layers
    }

    fn total(&self, endpoint: &EndpointId) -> Load {
        let mut total = self.own.get(endpoint).copied().unwrap_or_default();
        if let Some(peers) = self.peer_sum.get(endpoint) {
            total.add(peers.requests, peers.token_layers);
        }
        for (share, _) in self.centres.values() {
            if let Some((requests, token_layers)) = share.get(endpoint) {
                total.add(*requests, *token_layers);
            }
        }
        total
    }

    /// Returns the number of token-layers that this entry's own requests use at an endpoint.
    pub fn own_token_layers(&self, endpoint: &EndpointId) -> f64 {
        self.own.get(endpoint).map_or(0.0, |load| load.token_layers)
    }

    /// Returns the number of token-layers that the requests of this entry's data centre use at an
    /// endpoint.
    pub fn centre_token_layers(&self, endpoint: &EndpointId) -> f64 {
        let at_peers = self.peer_sum.get(endpoint);
        self.own_token_layers(endpoint) + at_peers.map_or(0.0, |load| load.token_layers)
    }

    /// Returns the number of this entry's own requests at an endpoint.
    pub fn own_requests(&self, endpoint: &EndpointId) -> u32 {
        self.own.get(endpoint).map_or(0, |load| load.requests)
    }
}
