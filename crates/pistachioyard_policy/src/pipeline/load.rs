//! Tracks the memory that the requests of all entries use on each card.

use std::collections::{BTreeMap, HashMap};

use pistachioyard_wire::{EndpointId, EntryId};

use super::path_choice::PathStage;

/// The share of a request's expected answer that counts from the start, since answers
/// grow from nothing to their full length and requests end at different times.
const ANSWER_SHARE: f64 = 0.75;

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

/// Tracks what this entry and its peers have in flight at each endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    own: HashMap<EndpointId, Load>,
    peers: BTreeMap<EntryId, HashMap<EndpointId, (u32, f64)>>,
}

impl LoadTracker {
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

    /// Replaces the load that a peer has in flight.
    pub fn set_peer(&mut self, peer: EntryId, load: HashMap<EndpointId, (u32, f64)>) {
        self.peers.insert(peer, load);
    }

    /// Removes the load of a peer that is gone.
    pub fn forget_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Returns the number of requests in flight at an endpoint, from all entries.
    pub fn requests(&self, endpoint: &EndpointId) -> u32 {
        let own = self.own.get(endpoint).map_or(0, |load| load.requests);
        let peers = self.peers.values().filter_map(|load| load.get(endpoint));
        own + peers.map(|(requests, _)| requests).sum::<u32>()
    }

    /// Returns the number of token-layers in use at an endpoint, from all entries.
    pub fn token_layers(&self, endpoint: &EndpointId) -> f64 {
        let own = self.own.get(endpoint).map_or(0.0, |load| load.token_layers);
        let peers = self.peers.values().filter_map(|load| load.get(endpoint));
        own + peers.map(|(_, token_layers)| token_layers).sum::<f64>()
    }

    /// Returns the number of this entry's own requests at an endpoint.
    pub fn own_requests(&self, endpoint: &EndpointId) -> u32 {
        self.own.get(endpoint).map_or(0, |load| load.requests)
    }
}
