//! Greedy placement that repairs coverage first and makes few moves.

use pistachioyard_wire::LayerRange;

use super::layer_capacity::LayerCapacity;
use super::{HeldLayers, PlacementChange, PlacementInput};

/// The maximum number of endpoints in service that are moved at a time to rebalance.
const MAX_REBALANCING_MOVES: usize = 2;
/// The share by which a rebalancing move must lower the time per token to be worth a
/// load.
const MIN_REBALANCING_GAIN: f64 = 0.05;

/// Returns the changes that improve the placement.
///
/// Endpoints that hold nothing are filled first. Endpoints in service are moved only
/// to cover a layer without a holder, or to rebalance: a few at a time, if the time per
/// token falls enough to be worth a load and the minimum rate of no model falls. Endpoints
/// that hold another version of a listed model are left to
/// [`next_rollout_step`](super::next_rollout_step).
pub fn plan_placement(input: &PlacementInput) -> Vec<PlacementChange> {
    let mut plan = Plan::new(input);
    while let Some(step) = plan.best_repair() {
        plan.apply(step);
    }
    while let Some(step) = plan.best_fill() {
        plan.apply(step);
    }
    for _ in 0..MAX_REBALANCING_MOVES {
        let Some(step) = plan.best_rebalance() else {
            break;
        };
        plan.apply(step);
    }
    plan.changes()
}

/// The layers that an endpoint holds of a model, given by its index in the input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Assignment {
    model: usize,
    layers: LayerRange,
}

/// A change of the assignment of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Step {
    endpoint: usize,
    to: Assignment,
}

/// The placement as planned so far.
struct Plan<'a> {
    input: &'a PlacementInput,
    assigned: Vec<Option<Assignment>>,
    movable: Vec<bool>,
    capacities: Vec<LayerCapacity>,
}

impl<'a> Plan<'a> {
    fn new(input: &'a PlacementInput) -> Self {
        let capacities = input
            .models
            .iter()
            .map(|model| LayerCapacity::new(model.layers))
            .collect();
        let mut plan = Self {
            input,
            assigned: vec![None; input.endpoints.len()],
            movable: vec![false; input.endpoints.len()],
            capacities,
        };
        for (i, endpoint) in input.endpoints.iter().enumerate() {
            let current = endpoint.current.as_ref();
            let assigned = current.and_then(|held| plan.assignment(held));
            let is_rollout = assigned.is_none()
                && current.is_some_and(|held| input.models.iter().any(|m| m.name == held.model));
            plan.movable[i] = endpoint.takes_orders() && !is_rollout;
            // Endpoints that are loading count, so that their layers are not placed twice.
            if let Some(assigned) = assigned.filter(|_| endpoint.usable) {
                plan.assigned[i] = Some(assigned);
                let rate = endpoint.rate(assigned.layers.len());
                plan.capacities[assigned.model].add(assigned.layers, rate);
            }
        }
        plan
    }

    fn assignment(&self, held: &HeldLayers) -> Option<Assignment> {
        let model = self.input.models.iter().position(|m| m.matches(held))?;
        (held.layers.end() <= self.input.models[model].layers).then_some(Assignment {
            model,
            layers: held.layers,
        })
    }

    fn rate(&self, endpoint: usize, layers: LayerRange) -> f64 {
        self.input.endpoints[endpoint].rate(layers.len())
    }

    /// Returns the weight of a model's time per token.
    ///
    /// The configured weight is squared: minimising the sum then distributes capacity
    /// in proportion to the configured weights.
    fn weight(&self, model: usize) -> f64 {
        self.input.models[model].weight.max(1e-3).powi(2)
    }

    fn unassign(&mut self, endpoint: usize) {
        if let Some(old) = self.assigned[endpoint].take() {
            let rate = self.rate(endpoint, old.layers);
            self.capacities[old.model].remove(old.layers, rate);
        }
    }

    fn assign(&mut self, endpoint: usize, to: Assignment) {
        let rate = self.rate(endpoint, to.layers);
        self.capacities[to.model].add(to.layers, rate);
        self.assigned[endpoint] = Some(to);
    }

    fn apply(&mut self, step: Step) {
        self.unassign(step.endpoint);
        self.assign(step.endpoint, step.to);
    }

    /// Returns the ranges of a model that an endpoint could hold: from each possible
    /// first layer, as many layers as it can hold, or the whole model if it fits.
    fn ranges(&self, endpoint: usize, model: usize) -> Vec<LayerRange> {
        let layers = self.input.models[model].layers;
        let max_layers = self.input.endpoints[endpoint].layer_capacity.min(layers);
        (0..=layers - max_layers)
            .filter_map(|first| LayerRange::new(first, first + max_layers).ok())
            .collect()
    }

    /// Returns ranges that cover the start of the first gap: the gap itself, as far as
    /// it fits, and the endpoint's current range extended to the gap, if that fits.
    fn gap_ranges(&self, endpoint: usize, model: usize) -> Vec<LayerRange> {
        let Some(gap) = self.capacities[model].first_gap() else {
            return Vec::new();
        };
        let max_layers = self.input.endpoints[endpoint].layer_capacity;
        let end = gap.end().min(gap.first().saturating_add(max_layers));
        let only_gap = LayerRange::new(gap.first(), end).ok();
        let extended = self.assigned[endpoint]
            .filter(|held| held.model == model)
            .and_then(|held| {
                let first = held.layers.first().min(gap.first());
                LayerRange::new(first, held.layers.end().max(gap.end())).ok()
            })
            .filter(|range| range.len() <= max_layers);
        only_gap.into_iter().chain(extended).collect()
    }

    /// Returns the change that covers the most uncovered layers.
    ///
    /// On a tie it prefers endpoints that hold nothing, then the lowest time per token.
    fn best_repair(&mut self) -> Option<Step> {
        if self.capacities.iter().all(|c| c.uncovered() == 0) {
            return None;
        }
        let before = self.uncovered();
        let mut best: Option<(usize, bool, f64, Step)> = None;
        for endpoint in 0..self.assigned.len() {
            if !self.movable[endpoint] {
                continue;
            }
            let old = self.assigned[endpoint];
            for model in 0..self.input.models.len() {
                for layers in self.gap_ranges(endpoint, model) {
                    let to = Assignment { model, layers };
                    let (uncovered, time) = self.evaluate(endpoint, to);
                    if uncovered >= before {
                        continue;
                    }
                    let step = Step { endpoint, to };
                    let better = best.as_ref().is_none_or(|(u, moved, t, _)| {
                        (uncovered, old.is_some()) < (*u, *moved)
                            || ((uncovered, old.is_some()) == (*u, *moved) && time < *t)
                    });
                    if better {
                        best = Some((uncovered, old.is_some(), time, step));
                    }
                }
            }
        }
        best.map(|(_, _, _, step)| step)
    }

    /// Returns the change with the largest gain that fills an endpoint that holds nothing.
    fn best_fill(&self) -> Option<Step> {
        let empty =
            (0..self.assigned.len()).filter(|i| self.movable[*i] && self.assigned[*i].is_none());
        empty
            .filter_map(|endpoint| {
                self.best_range(endpoint)
                    .map(|(gain, to)| (gain, endpoint, to))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, endpoint, to)| Step { endpoint, to })
    }

    fn best_range(&self, endpoint: usize) -> Option<(f64, Assignment)> {
        (0..self.input.models.len())
            .flat_map(|model| {
                self.ranges(endpoint, model)
                    .into_iter()
                    .map(move |layers| Assignment { model, layers })
            })
            .map(|to| {
                let rate = self.rate(endpoint, to.layers);
                let gain = self.capacities[to.model].gain(to.layers, rate);
                (gain * self.weight(to.model), to)
            })
            .filter(|(gain, _)| *gain > 0.0)
            .max_by(|a, b| a.0.total_cmp(&b.0))
    }

    /// Returns the move of an endpoint in service with the largest gain.
    ///
    /// Skips moves that lower the time per token by no more than
    /// [`MIN_REBALANCING_GAIN`], or that lower the coverage or the minimum rate of a model.
    fn best_rebalance(&mut self) -> Option<Step> {
        let before = self.total_time_per_token();
        let min_rates: Vec<f64> = self
            .capacities
            .iter()
            .map(LayerCapacity::min_rate)
            .collect();
        let mut best: Option<(f64, Step)> = None;
        for endpoint in 0..self.assigned.len() {
            let Some(old) = self.assigned[endpoint].filter(|_| self.movable[endpoint]) else {
                continue;
            };
            if !self.capacities[old.model].is_redundant(old.layers) {
                continue;
            }
            self.unassign(endpoint);
            let found = self.best_range(endpoint);
            if let Some((_, to)) = found.filter(|(_, to)| *to != old) {
                self.assign(endpoint, to);
                let time = self.total_time_per_token();
                let keeps_min_rates = self
                    .capacities
                    .iter()
                    .zip(&min_rates)
                    .all(|(capacity, min_rate)| capacity.min_rate() >= min_rate * (1.0 - 1e-9));
                let is_worth_a_load = time < before * (1.0 - MIN_REBALANCING_GAIN);
                if keeps_min_rates
                    && is_worth_a_load
                    && best.as_ref().is_none_or(|(t, _)| time < *t)
                {
                    best = Some((time, Step { endpoint, to }));
                }
                self.unassign(endpoint);
            }
            self.assign(endpoint, old);
        }
        best.map(|(_, step)| step)
    }

    fn uncovered(&self) -> usize {
        self.capacities.iter().map(LayerCapacity::uncovered).sum()
    }

    fn total_time_per_token(&self) -> f64 {
        self.capacities
            .iter()
            .enumerate()
            .map(|(model, capacity)| capacity.time_per_token() * self.weight(model))
            .sum()
    }

    /// Returns the number of uncovered layers and the time per token after a change.
    fn evaluate(&mut self, endpoint: usize, to: Assignment) -> (usize, f64) {
        let old = self.assigned[endpoint];
        self.apply(Step { endpoint, to });
        let result = (self.uncovered(), self.total_time_per_token());
        self.unassign(endpoint);
        if let Some(old) = old {
            self.assign(endpoint, old);
        }
        result
    }

    fn changes(&self) -> Vec<PlacementChange> {
        let endpoints = self.input.endpoints.iter().zip(&self.assigned);
        endpoints
            .filter_map(|(endpoint, assigned)| {
                let assigned = (*assigned)?;
                let hold = self.input.models[assigned.model].hold(assigned.layers);
                (endpoint.current.as_ref() != Some(&hold)).then(|| PlacementChange {
                    endpoint: endpoint.id.clone(),
                    hold,
                })
            })
            .collect()
    }
}
