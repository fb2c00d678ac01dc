//! Choice of a chain: endpoints that together run every layer once, in order.
//!
//! The chain with the least estimated time per token is found by dynamic
//! programming over the endpoints sorted by the end of what they hold. Each
//! entry decides alone on a view that lags, so the load terms are perturbed at
//! random; entries with the same view then spread over near-equal chains
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

/// What a chain is wanted for.
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
    /// The digest of the prompt's prefix, for reuse of cached prefixes.
    pub prefix_digest: Option<u64>,
    /// The tokens that KV cache is needed for.
    pub tokens: u32,
    /// The time between tokens to keep; an endpoint takes no more streams than it
    /// can step once in that time, whatever its slots.
    pub token_gap: Option<Duration>,
    /// Endpoints that must not be used.
    pub exclude: &'a BTreeSet<EndpointId>,
    /// Stages that hold KV of this stream, strongly preferred where usable.
    pub keep: &'a [(EndpointId, LayerRange)],
}

/// A chosen chain.
#[derive(Clone, Debug, PartialEq)]
pub struct Chain {
    /// The stages in order; they cover every layer once.
    pub stages: Arc<[StageRef]>,
    /// The estimated time per token, in milliseconds.
    pub cost_ms: f64,
    /// Whether every stage is estimated to have a free slot.
    pub free: bool,
}

/// Why there is no chain.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum NoChain {
    /// Some layers are held by no usable endpoint.
    #[error("some layers of the model are held by no usable endpoint; ask again later")]
    NoneCovers,
    /// Only excluded endpoints could complete a chain.
    #[error("every chain of the model needs an endpoint that this request must avoid")]
    AllExcluded,
}

/// How a chain is chosen; all but [`Cost`](Self::Cost) are baselines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ChoicePolicy {
    /// The least estimated time per token.
    #[default]
    Cost,
    /// At each step the endpoint with the least reported work.
    LeastReported,
    /// At each step any endpoint, drawn evenly.
    Random,
    /// At each step the endpoint with the fewest begun streams of this entry.
    RoundRobin,
}

/// Chooses the chain with the least estimated time per token.
///
/// # Errors
///
/// Fails when no usable endpoints together hold every layer.
pub fn choose_chain(
    view: &FleetView,
    prefixes: &PrefixIndex,
    query: &ChainQuery<'_>,
    now: Instant,
    rng: &mut impl Rng,
) -> Result<Chain, NoChain> {
    choose_chain_by(ChoicePolicy::Cost, view, prefixes, query, now, rng)
}

/// Chooses a chain by a policy.
///
/// # Errors
///
/// Fails when no usable endpoints together hold every layer.
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
            NoChain::NoneCovers
        }
    })
}

/// Replaces a chain whose tokens would return to its head over a degraded link,
/// which the search over stages does not see, if there is another.
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

/// Returns an upper bound on the streams that fit now beside those in flight.
///
/// It is the least, over the layers, of the free slots of the endpoints that
/// hold the layer.
pub fn free_slots(view: &FleetView, query: &ChainQuery<'_>, now: Instant) -> u32 {
    let mut holders = candidate::holders(view, query, now);
    holders.retain(|holder| !query.exclude.contains(holder.view.id()));
    candidate::cuts(&holders, query.layers)
        .into_iter()
        .map(|layer| {
            holders
                .iter()
                .filter(|holder| holder.first <= layer && layer < holder.end)
                .map(|holder| holder.slots.saturating_sub(holder.work))
                .fold(0, u32::saturating_add)
        })
        .min()
        .unwrap_or(0)
}
