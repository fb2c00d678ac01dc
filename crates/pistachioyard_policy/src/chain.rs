//! Selection of a chain: endpoints that together run every layer once, in order.
//!
//! Dynamic programming over the endpoints, sorted by the end of their layer range,
//! finds the chain with the least estimated time per token. Each entry decides
//! alone on a stale view. Random jitter on the load terms keeps entries with the
//! same view from herding: they spread over chains of nearly equal cost
//! (`docs/design/chain-choice.md`).

mod baseline;
mod candidate;
mod search;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachioyard_wire::{AdapterName, EndpointId, LayerRange, ModelName, StageRef, VersionName};
use rand::Rng;

use crate::{FleetView, PrefixIndex};
use candidate::Candidate;
use search::Search;

/// The requirements that a chain has to meet.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The version that every stage must hold.
    pub version: &'a VersionName,
    /// The adapter that every stage must have loaded, if any.
    pub adapter: Option<&'a AdapterName>,
    /// The number of layers of the model.
    pub layers: u32,
    /// The digest of the prompt's prefix; endpoints that have it cached are preferred.
    pub prefix_digest: Option<u64>,
    /// The number of tokens that need KV cache.
    pub tokens: u32,
    /// The largest acceptable time between tokens. An endpoint takes no more streams
    /// than it can step once in that time, even if it has more slots.
    pub token_gap: Option<Duration>,
    /// The endpoints that must not be used.
    pub exclude: &'a BTreeSet<EndpointId>,
    /// The stages that hold KV cache of this stream, strongly preferred while usable.
    pub keep: &'a [(EndpointId, LayerRange)],
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// The stages in order; they cover every layer once.
    pub stages: Arc<[StageRef]>,
    /// The estimated time per token, in milliseconds.
    pub cost_ms: f64,
    /// Whether every stage is estimated to have a free slot. Under
    /// [`ChoicePolicy::Cost`], a kept stage counts as free.
    pub has_free_slots: bool,
}

/// The reason why no chain was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoChain {
    /// No usable endpoint holds some of the layers.
    #[error("no usable endpoint holds some layers of the model; retry later")]
    NotCovered,
    /// Every possible chain needs an excluded endpoint.
    #[error("every chain of the model needs an endpoint that is excluded for this request")]
    AllExcluded,
}

/// The policy by which a chain is chosen.
///
/// All but [`Cost`](Self::Cost) are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// Takes the chain with the least estimated time per token.
    #[default]
    Cost,
    /// Takes, for each stage, the endpoint with the fewest reported streams.
    LeastReported,
    /// Draws, for each stage, an endpoint uniformly at random.
    Random,
    /// Takes, for each stage, the endpoint on which this entry has started the fewest
    /// streams.
    RoundRobin,
}

/// Chooses the chain with the least estimated time per token.
///
/// # Errors
///
/// Fails when the usable endpoints that are not excluded do not hold every layer.
pub fn choose_chain(
    view: &FleetView,
    prefixes: &PrefixIndex,
    query: &ChainQuery<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> Result<Chain, NoChain> {
    choose_chain_by(ChoicePolicy::Cost, view, prefixes, query, now, rng)
}

/// Chooses a chain by the given policy.
///
/// # Errors
///
/// Fails when the usable endpoints that are not excluded do not hold every layer.
pub fn choose_chain_by(
    policy: ChoicePolicy,
    view: &FleetView,
    prefixes: &PrefixIndex,
    query: &ChainQuery<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> Result<Chain, NoChain> {
    let holders = candidate::holders(view, query, now);
    let allowed: Vec<Candidate<'_>> = holders
        .iter()
        .filter(|holder| !query.exclude.contains(holder.view.id()))
        .cloned()
        .collect();
    let found = match policy {
        ChoicePolicy::Cost => {
            let search = Search::new(view, prefixes, query, now);
            let found = search.least_cost(&allowed, rng);
            found.map(|chain| avoid_degraded_return(view, &search, &allowed, chain, now, rng))
        }
        ChoicePolicy::LeastReported | ChoicePolicy::Random | ChoicePolicy::RoundRobin => {
            baseline::choose(policy, view, &allowed, query.layers, rng)
        }
    };
    found.ok_or_else(|| {
        if candidate::covers_all(&holders, query.layers) {
            NoChain::AllExcluded
        } else {
            NoChain::NotCovered
        }
    })
}

/// Replaces a chain whose tokens return to the first stage over a degraded link, if
/// another chain avoids that.
///
/// The search over the stages does not include the link from the last stage back
/// to the first.
fn avoid_degraded_return(
    view: &FleetView,
    search: &Search<'_, '_>,
    allowed: &[Candidate<'_>],
    chain: Chain,
    now: Instant,
    rng: &mut impl Rng,
) -> Chain {
    if !has_degraded_return(view, &chain, now) {
        return chain;
    }
    let ends = [chain.stages.last(), chain.stages.first()];
    for avoided in ends.into_iter().flatten() {
        let rest: Vec<Candidate<'_>> = allowed
            .iter()
            .filter(|candidate| *candidate.view.id() != avoided.endpoint)
            .cloned()
            .collect();
        let other = search.least_cost(&rest, rng);
        if let Some(other) = other.filter(|other| !has_degraded_return(view, other, now)) {
            return other;
        }
    }
    chain
}

fn has_degraded_return(view: &FleetView, chain: &Chain, now: Instant) -> bool {
    let (Some(last), Some(head)) = (chain.stages.last(), chain.stages.first()) else {
        return false;
    };
    view.is_degraded_link(&last.endpoint, &head.endpoint, now)
}

/// Returns an upper bound on the number of streams that can start now.
///
/// The bound is the minimum over the layers of the free slots of all endpoints
/// that hold the layer.
pub fn free_slots(view: &FleetView, query: &ChainQuery<'_>, now: Instant) -> u32 {
    let mut holders = candidate::holders(view, query, now);
    holders.retain(|holder| !query.exclude.contains(holder.view.id()));
    candidate::representative_layers(&holders, query.layers)
        .into_iter()
        .map(|layer| {
            holders
                .iter()
                .filter(|holder| holder.first <= layer && layer < holder.end)
                .map(|holder| holder.slots.saturating_sub(holder.streams))
                .fold(0, u32::saturating_add)
        })
        .min()
        .unwrap_or(0)
}
