//! Least-cost chain search by dynamic programming.

use std::time::Instant;

use pistachioyard_wire::{DataCentre, LayerRange, StageRef};
use rand::Rng;

use super::candidate::Candidate;
use super::{Chain, ChainQuery};
use crate::{FleetView, PrefixIndex};

/// The share by which a full batch lengthens a step.
const BATCH_SLOWDOWN: f64 = 0.5;
/// The factor on the load term of a suspect endpoint.
const SUSPECT_FACTOR: f64 = 4.0;
/// The factor on the load term of an endpoint without enough free KV cache for the
/// stream.
const NO_KV_FACTOR: f64 = 3.0;
/// The factor on the load term of an endpoint that has the prompt's prefix cached.
const CACHED_PREFIX_FACTOR: f64 = 0.75;
/// The largest random jitter added to a load term, as a share of the term.
const MAX_JITTER: f64 = 0.3;
/// The cost of a degraded link, in milliseconds; it outweighs any preference for kept
/// stages.
const DEGRADED_LINK_PENALTY_MS: f64 = 1e9;
/// The cost of a stage without a free slot, in milliseconds. It outweighs every load
/// term, so that a full stage is chosen only if no chain with free slots exists.
const FULL_STAGE_PENALTY_MS: f64 = 1_000.0;
/// The preference for a kept stage, in milliseconds per layer.
const KEEP_PREFERENCE_MS: f64 = 10_000.0;

/// A candidate with the values that the inner loop of the search needs.
struct Node<'a> {
    candidate: Candidate<'a>,
    /// The load term: the estimated time per token at the endpoint. It does not depend
    /// on how many of the held layers the stage runs, because a step takes one slot of
    /// the batch in any case.
    load_ms: f64,
    /// The load term with random jitter.
    jittered_ms: f64,
    /// The index of the data centre in the table of link times.
    data_centre: usize,
    /// The layer at which the stage must start; set for a stage that holds KV cache.
    required_first: Option<u32>,
    /// The amount subtracted from the cost; negative for a stage without a free slot.
    preference_ms: f64,
}

/// The cheapest partial chain found that ends at a node.
#[derive(Clone, Copy)]
struct PartialChain {
    cost: f64,
    first: u32,
    previous: Option<usize>,
}

/// The search for the chains of one query.
pub(super) struct Search<'a, 'q> {
    view: &'a FleetView,
    prefixes: &'a PrefixIndex,
    query: &'q ChainQuery<'q>,
    now: Instant,
    has_degraded_links: bool,
}

impl<'a, 'q> Search<'a, 'q> {
    pub(super) fn new(
        view: &'a FleetView,
        prefixes: &'a PrefixIndex,
        query: &'q ChainQuery<'q>,
        now: Instant,
    ) -> Self {
        Self {
            view,
            prefixes,
            query,
            now,
            has_degraded_links: view.has_degraded_links(now),
        }
    }

    /// Returns the chain with the least cost, jitter included.
    ///
    /// If the query has kept stages, an endpoint may also stop early where a kept
    /// stage starts. If the resulting chain uses an endpoint twice, the search runs
    /// again without kept stages, because an endpoint holds only one KV cache per
    /// stream.
    pub(super) fn least_cost(
        &self,
        candidates: &[Candidate<'a>],
        rng: &mut impl Rng,
    ) -> Option<Chain> {
        if !self.query.keep.is_empty() {
            let kept = self.find_chain(&self.with_kept_stages(candidates), rng);
            if let Some(chain) = kept.filter(|chain| !repeats_endpoint(&chain.stages)) {
                return Some(chain);
            }
        }
        let plain: Vec<_> = candidates.iter().map(|c| (c.clone(), None)).collect();
        self.find_chain(&plain, rng)
    }

    /// Adds candidates that run a kept stage or stop where a kept stage starts.
    fn with_kept_stages(
        &self,
        candidates: &[Candidate<'a>],
    ) -> Vec<(Candidate<'a>, Option<LayerRange>)> {
        let mut all: Vec<(Candidate<'a>, Option<LayerRange>)> = Vec::new();
        for candidate in candidates {
            all.push((candidate.clone(), None));
            for (endpoint, range) in self.query.keep {
                let mut truncated = candidate.clone();
                if endpoint == candidate.view.id() {
                    if candidate.first <= range.first() && range.end() <= candidate.end {
                        truncated.end = range.end();
                        all.push((truncated, Some(*range)));
                    }
                } else if candidate.first < range.first() && range.first() < candidate.end {
                    truncated.end = range.first();
                    all.push((truncated, None));
                }
            }
        }
        all.sort_by_key(|(candidate, _)| (candidate.end, candidate.first));
        all
    }

    fn find_chain(
        &self,
        candidates: &[(Candidate<'a>, Option<LayerRange>)],
        rng: &mut impl Rng,
    ) -> Option<Chain> {
        let mut data_centres: Vec<&DataCentre> = Vec::new();
        let nodes: Vec<Node<'a>> = candidates
            .iter()
            .map(|(candidate, kept)| self.node(candidate, *kept, &mut data_centres, rng))
            .collect();
        let links = self.link_table(&data_centres);
        let mut partial_chains: Vec<Option<PartialChain>> = Vec::with_capacity(nodes.len());
        for node in &nodes {
            let best =
                self.best_partial_chain(node, &nodes, &partial_chains, &links, data_centres.len());
            partial_chains.push(best);
        }
        let last = (0..nodes.len())
            .filter(|i| nodes[*i].candidate.end == self.query.layers)
            .filter_map(|i| partial_chains[i].map(|partial| (i, partial.cost)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(i, _)| i)?;
        self.trace_back(last, &nodes, &partial_chains)
    }

    fn node<'d>(
        &self,
        candidate: &Candidate<'a>,
        kept: Option<LayerRange>,
        data_centres: &mut Vec<&'d DataCentre>,
        rng: &mut impl Rng,
    ) -> Node<'a>
    where
        'a: 'd,
    {
        let name = candidate.view.data_centre();
        let data_centre = data_centres
            .iter()
            .position(|known| *known == name)
            .unwrap_or_else(|| {
                data_centres.push(name);
                data_centres.len() - 1
            });
        let load_ms = self.load_ms(candidate);
        Node {
            candidate: candidate.clone(),
            load_ms,
            jittered_ms: load_ms * (1.0 + rng.random_range(0.0..MAX_JITTER)),
            data_centre,
            required_first: kept.map(LayerRange::first),
            preference_ms: match kept {
                Some(range) => KEEP_PREFERENCE_MS * f64::from(range.len()),
                None if candidate.is_free() => 0.0,
                None => -FULL_STAGE_PENALTY_MS,
            },
        }
    }

    /// Returns the load term: the estimated time per token at the candidate's endpoint.
    fn load_ms(&self, candidate: &Candidate<'a>) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let occupancy = f64::from(candidate.streams.saturating_add(1)) / slots;
        let sharing = occupancy.max(1.0) + BATCH_SLOWDOWN * occupancy.min(1.0);
        let mut load_ms = candidate.step_ms * sharing;
        if candidate.view.is_suspect(self.now) {
            load_ms *= SUSPECT_FACTOR;
        }
        if candidate.free_kv_tokens < u64::from(self.query.tokens) {
            load_ms *= NO_KV_FACTOR;
        }
        let id = candidate.view.id();
        if self
            .query
            .prefix_digest
            .is_some_and(|digest| self.prefixes.holds(id, digest))
        {
            load_ms *= CACHED_PREFIX_FACTOR;
        }
        load_ms
    }

    fn link_table(&self, data_centres: &[&DataCentre]) -> Vec<f64> {
        data_centres
            .iter()
            .flat_map(|from| data_centres.iter().map(|to| self.view.link_ms(from, to)))
            .collect()
    }

    /// Returns the cheapest partial chain that ends at a node, over the nodes before it.
    fn best_partial_chain(
        &self,
        node: &Node<'a>,
        nodes: &[Node<'a>],
        partial_chains: &[Option<PartialChain>],
        links: &[f64],
        data_centre_count: usize,
    ) -> Option<PartialChain> {
        let candidate = &node.candidate;
        let is_allowed_start = |first: u32| node.required_first.is_none_or(|at| at == first);
        let mut best = (candidate.first == 0 && is_allowed_start(0)).then_some(PartialChain {
            cost: node.jittered_ms - node.preference_ms,
            first: 0,
            previous: None,
        });
        let from =
            nodes[..partial_chains.len()].partition_point(|n| n.candidate.end < candidate.first);
        for (i, partial) in partial_chains.iter().enumerate().skip(from) {
            let predecessor = &nodes[i];
            let first = predecessor.candidate.end;
            if first >= candidate.end {
                break;
            }
            let Some(partial) = partial.filter(|_| is_allowed_start(first)) else {
                continue;
            };
            let mut cost = partial.cost
                + links[predecessor.data_centre * data_centre_count + node.data_centre]
                - node.preference_ms
                + node.jittered_ms;
            if best.as_ref().is_some_and(|best| best.cost <= cost) {
                continue;
            }
            if self.has_degraded_links {
                cost += self.degraded_link_penalty_ms(predecessor, node);
            }
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(PartialChain {
                    cost,
                    first,
                    previous: Some(i),
                });
            }
        }
        best
    }

    fn degraded_link_penalty_ms(&self, predecessor: &Node<'a>, node: &Node<'a>) -> f64 {
        let from = predecessor.candidate.view.id();
        let to = node.candidate.view.id();
        if self.view.is_degraded_link(from, to, self.now) {
            DEGRADED_LINK_PENALTY_MS
        } else {
            0.0
        }
    }

    /// Follows the partial chains back to the first layer to build the chain.
    fn trace_back(
        &self,
        last: usize,
        nodes: &[Node<'a>],
        partial_chains: &[Option<PartialChain>],
    ) -> Option<Chain> {
        let mut stages: Vec<StageRef> = Vec::new();
        let mut cost_ms = 0.0;
        let mut has_free_slots = true;
        let mut current = Some(last);
        while let Some(i) = current {
            let node = &nodes[i];
            let partial = partial_chains[i]?;
            stages.push(node.candidate.stage(partial.first)?);
            cost_ms += node.load_ms;
            if let Some(previous) = partial.previous {
                let from = nodes[previous].candidate.view.data_centre();
                cost_ms += self.view.link_ms(from, node.candidate.view.data_centre());
            }
            has_free_slots &= node.candidate.is_free() || node.required_first.is_some();
            current = partial.previous;
        }
        stages.reverse();
        Some(Chain {
            stages: stages.into(),
            cost_ms,
            has_free_slots,
        })
    }
}

/// Returns whether two stages use the same endpoint.
fn repeats_endpoint(stages: &[StageRef]) -> bool {
    stages.iter().enumerate().any(|(i, stage)| {
        stages[..i]
            .iter()
            .any(|earlier| earlier.endpoint == stage.endpoint)
    })
}
