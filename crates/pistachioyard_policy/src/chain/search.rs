//! Dynamic programming for the chain with the least cost.

use std::time::Instant;

use pistachioyard_wire::{DataCentre, LayerRange, StageRef};
use rand::Rng;

use super::candidate::Candidate;
use super::{Chain, ChainQuery};
use crate::{FleetView, PrefixIndex};

/// The share of a step by which a nearly full batch slows it down.
const BATCH_SLOWDOWN: f64 = 0.5;
/// The factor on the load term of an endpoint that was slow a short time ago.
const SUSPECT_FACTOR: f64 = 4.0;
/// The factor on the load term where KV cache for the stream is not free.
const NO_KV_FACTOR: f64 = 3.0;
/// The factor on the load term where the prompt's prefix is cached.
const PREFIX_FACTOR: f64 = 0.75;
/// The largest random addition to a load term, as a share of it.
const PERTURBATION: f64 = 0.3;
/// The cost of a link that stalled, in milliseconds; it outweighs kept stages.
const DEGRADED_LINK_MS: f64 = 1e9;
/// The cost of a stage without a free slot, in milliseconds; it outweighs every
/// other load, so that a chain is full only if no free one exists.
const FULL_MS: f64 = 1_000.0;
/// The preference for a kept stage, in milliseconds for each layer.
const KEEP_PREFERENCE_MS: f64 = 10_000.0;

/// A candidate with what the search needs to know in its inner loop.
struct Node<'a> {
    candidate: Candidate<'a>,
    /// The time per token as estimated; a step takes a place of a batch, however
    /// many of the layers held it runs.
    load_ms: f64,
    /// The same with the random addition.
    perturbed_ms: f64,
    /// The place of its data centre in the table of link times.
    data_centre: usize,
    /// The first layer that it must start at, for a stage that holds KV.
    starts_at: Option<u32>,
    preference_ms: f64,
}

/// The best way found to a node.
#[derive(Clone, Copy)]
struct Reached {
    cost: f64,
    first: u32,
    previous: Option<usize>,
}

/// Finds chains for one query.
pub(super) struct Search<'a, 'q> {
    view: &'a FleetView,
    prefixes: &'a PrefixIndex,
    query: &'q ChainQuery<'q>,
    now: Instant,
    any_degraded: bool,
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
            any_degraded: view.has_degraded_links(now),
        }
    }

    /// Returns the chain with the least perturbed cost.
    ///
    /// With kept stages, an endpoint may also stop early at the start of one. A
    /// chain that then passes an endpoint twice is dropped for one without kept
    /// stages, because an endpoint holds one KV cache for a stream.
    pub(super) fn least_cost(
        &self,
        candidates: &[Candidate<'a>],
        rng: &mut impl Rng,
    ) -> Option<Chain> {
        if !self.query.keep.is_empty() {
            let kept = self.run(&self.with_kept(candidates), rng);
            if let Some(chain) = kept.filter(|chain| !repeats_endpoint(&chain.stages)) {
                return Some(chain);
            }
        }
        let plain: Vec<_> = candidates.iter().map(|c| (c.clone(), None)).collect();
        self.run(&plain, rng)
    }

    /// Adds candidates that run a kept stage, and ones that stop where one starts.
    fn with_kept(&self, candidates: &[Candidate<'a>]) -> Vec<(Candidate<'a>, Option<LayerRange>)> {
        let mut all: Vec<(Candidate<'a>, Option<LayerRange>)> = Vec::new();
        for candidate in candidates {
            all.push((candidate.clone(), None));
            for (endpoint, range) in self.query.keep {
                let mut cut = candidate.clone();
                if endpoint == candidate.view.id() {
                    if candidate.first <= range.first() && range.end() <= candidate.end {
                        cut.end = range.end();
                        all.push((cut, Some(*range)));
                    }
                } else if candidate.first < range.first() && range.first() < candidate.end {
                    cut.end = range.first();
                    all.push((cut, None));
                }
            }
        }
        all.sort_by_key(|(candidate, _)| (candidate.end, candidate.first));
        all
    }

    fn run(
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
        let mut reached: Vec<Option<Reached>> = Vec::with_capacity(nodes.len());
        for node in &nodes {
            let best = self.best_way(node, &nodes, &reached, &links, data_centres.len());
            reached.push(best);
        }
        let last = (0..nodes.len())
            .filter(|i| nodes[*i].candidate.end == self.query.layers)
            .filter_map(|i| reached[i].map(|way| (i, way.cost)))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(i, _)| i)?;
        self.chain(last, &nodes, &reached)
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
            perturbed_ms: load_ms * (1.0 + rng.random_range(0.0..PERTURBATION)),
            data_centre,
            starts_at: kept.map(LayerRange::first),
            preference_ms: match kept {
                Some(range) => KEEP_PREFERENCE_MS * f64::from(range.len()),
                None if candidate.is_free() => 0.0,
                None => -FULL_MS,
            },
        }
    }

    /// Estimates the time per token at the endpoint.
    fn load_ms(&self, candidate: &Candidate<'a>) -> f64 {
        let slots = f64::from(candidate.slots.max(1));
        let occupancy = f64::from(candidate.work.saturating_add(1)) / slots;
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
            load_ms *= PREFIX_FACTOR;
        }
        load_ms
    }

    fn link_table(&self, data_centres: &[&DataCentre]) -> Vec<f64> {
        data_centres
            .iter()
            .flat_map(|from| data_centres.iter().map(|to| self.view.link_ms(from, to)))
            .collect()
    }

    /// Finds the best way to a node over the nodes before it.
    fn best_way(
        &self,
        node: &Node<'a>,
        nodes: &[Node<'a>],
        reached: &[Option<Reached>],
        links: &[f64],
        width: usize,
    ) -> Option<Reached> {
        let candidate = &node.candidate;
        let starts_right = |first: u32| node.starts_at.is_none_or(|at| at == first);
        let mut best = (candidate.first == 0 && starts_right(0)).then_some(Reached {
            cost: node.perturbed_ms - node.preference_ms,
            first: 0,
            previous: None,
        });
        let from = nodes[..reached.len()].partition_point(|n| n.candidate.end < candidate.first);
        for (i, way) in reached.iter().enumerate().skip(from) {
            let before = &nodes[i];
            let first = before.candidate.end;
            if first >= candidate.end {
                break;
            }
            let Some(way) = way.filter(|_| starts_right(first)) else {
                continue;
            };
            let mut cost = way.cost + links[before.data_centre * width + node.data_centre]
                - node.preference_ms
                + node.perturbed_ms;
            if best.as_ref().is_some_and(|best| best.cost <= cost) {
                continue;
            }
            if self.any_degraded {
                cost += self.degraded_ms(before, node);
            }
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(Reached {
                    cost,
                    first,
                    previous: Some(i),
                });
            }
        }
        best
    }

    fn degraded_ms(&self, before: &Node<'a>, node: &Node<'a>) -> f64 {
        let from = before.candidate.view.id();
        let to = node.candidate.view.id();
        if self.view.is_degraded_link(from, to, self.now) {
            DEGRADED_LINK_MS
        } else {
            0.0
        }
    }

    /// Follows the best ways back to the first layer.
    fn chain(&self, last: usize, nodes: &[Node<'a>], reached: &[Option<Reached>]) -> Option<Chain> {
        let mut stages: Vec<StageRef> = Vec::new();
        let mut cost_ms = 0.0;
        let mut free = true;
        let mut at = Some(last);
        while let Some(i) = at {
            let node = &nodes[i];
            let way = reached[i]?;
            stages.push(node.candidate.stage(way.first)?);
            cost_ms += node.load_ms;
            if let Some(previous) = way.previous {
                let from = nodes[previous].candidate.view.data_centre();
                cost_ms += self.view.link_ms(from, node.candidate.view.data_centre());
            }
            free &= node.candidate.is_free() || node.starts_at.is_some();
            at = way.previous;
        }
        stages.reverse();
        Some(Chain {
            stages: stages.into(),
            cost_ms,
            free,
        })
    }
}

/// Tells whether an endpoint stands in two stages.
fn repeats_endpoint(stages: &[StageRef]) -> bool {
    stages.iter().enumerate().any(|(i, stage)| {
        stages[..i]
            .iter()
            .any(|before| before.endpoint == stage.endpoint)
    })
}
