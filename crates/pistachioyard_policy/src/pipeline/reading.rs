//! Tracks the prompts that the requests of all entries still have to read at each endpoint.
//!
//! Load pattern: prompts queue at the slowest endpoints while their memory still looks free. A
//! request counts until its first event, at each endpoint of its path.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EndpointId, EntryId};

use super::path_choice::PathStage;

/// How long the sum of a data centre counts after it was told: a few gossip rounds, since
/// prompts are read in less than a second where latency targets are kept.
const CENTRE_TTL: Duration = Duration::from_secs(2);

/// Holds the prompt tokens times layers that are being read at each endpoint.
pub type ReadingShare = HashMap<EndpointId, u64>;

/// Tracks what this entry and its peers have begun to read at each endpoint.
#[derive(Clone, Debug, Default)]
pub struct ReadingBacklog {
    own: ReadingShare,
    /// What of it was begun since peers were last told.
    untold: ReadingShare,
    /// The backlog of the peers in this entry's data centre, and its sum.
    peers: BTreeMap<EntryId, ReadingShare>,
    peer_sum: ReadingShare,
    /// The sums of the other data centres.
    centres: BTreeMap<DataCentre, (ReadingShare, Instant)>,
}

impl ReadingBacklog {
    /// Adds the prompt of a request to each stage of its path.
    pub fn begin(&mut self, stages: &[PathStage], prompt_tokens: f64) {
        for stage in stages {
            let added = token_layers(stage, prompt_tokens);
            for share in [&mut self.own, &mut self.untold] {
                *share.entry(stage.endpoint.clone()).or_default() += added;
            }
        }
    }

    /// Removes a prompt that [`Self::begin`] added.
    pub fn end(&mut self, stages: &[PathStage], prompt_tokens: f64) {
        for stage in stages {
            let read = token_layers(stage, prompt_tokens);
            subtract(&mut self.own, &stage.endpoint, read);
        }
    }

    /// Notes that peers were told.
    pub fn end_round(&mut self) {
        self.untold.clear();
    }

    /// Returns what of this entry's own backlog at an endpoint its peers have not been told; they
    /// are likely to have begun as much that this entry has not been told.
    pub fn untold(&self, endpoint: &EndpointId) -> f64 {
        let of = |share: &ReadingShare| share.get(endpoint).copied().unwrap_or_default();
        of(&self.untold).min(of(&self.own)) as f64
    }

    /// Returns this entry's own backlog, to send to its peers.
    pub fn own(&self) -> impl Iterator<Item = (&EndpointId, u64)> {
        self.own
            .iter()
            .map(|(endpoint, tokens)| (endpoint, *tokens))
    }

    /// Returns the backlog of this entry's data centre, to send to peers elsewhere.
    pub fn centre(&self) -> impl Iterator<Item = (&EndpointId, u64)> {
        let only_at_peers = self.peer_sum.keys();
        let only_at_peers = only_at_peers.filter(|endpoint| !self.own.contains_key(*endpoint));
        let endpoints = self.own.keys().chain(only_at_peers);
        endpoints.map(|endpoint| (endpoint, self.home_total(endpoint)))
    }

    /// Replaces the backlog of a peer in this entry's data centre.
    pub fn set_peer(&mut self, peer: EntryId, share: ReadingShare) {
        self.forget_peer(&peer);
        for (endpoint, tokens) in &share {
            *self.peer_sum.entry(endpoint.clone()).or_default() += tokens;
        }
        self.peers.insert(peer, share);
    }

    /// Replaces the sum of another data centre.
    pub fn set_centre(&mut self, centre: DataCentre, share: ReadingShare, now: Instant) {
        self.centres.insert(centre, (share, now));
    }

    /// Returns the prompt tokens times layers that are being read at an endpoint.
    pub fn token_layers(&self, endpoint: &EndpointId) -> f64 {
        let elsewhere = self.centres.values();
        let elsewhere = elsewhere.filter_map(|(share, _)| share.get(endpoint));
        (self.home_total(endpoint) + elsewhere.sum::<u64>()) as f64
    }

    /// Removes the backlog of a peer that is gone.
    pub(super) fn forget_peer(&mut self, peer: &EntryId) {
        for (endpoint, tokens) in self.peers.remove(peer).into_iter().flatten() {
            subtract(&mut self.peer_sum, &endpoint, tokens);
        }
    }

    /// Removes the sums of data centres from which nothing has been heard for long.
    pub(super) fn expire_centres(&mut self, now: Instant) {
        self.centres
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < CENTRE_TTL);
    }

    fn home_total(&self, endpoint: &EndpointId) -> u64 {
        let shares = [&self.own, &self.peer_sum];
        shares.iter().filter_map(|share| share.get(endpoint)).sum()
    }
}

/// Returns what a stage has to read of a prompt; whole, so that sums do not drift.
fn token_layers(stage: &PathStage, prompt_tokens: f64) -> u64 {
    prompt_tokens.round() as u64 * u64::from(stage.layers.len())
}

fn subtract(share: &mut ReadingShare, endpoint: &EndpointId, tokens: u64) {
    if let Some(left) = share.get_mut(endpoint) {
        *left = left.saturating_sub(tokens);
        if *left == 0 {
            share.remove(endpoint);
        }
    }
}
