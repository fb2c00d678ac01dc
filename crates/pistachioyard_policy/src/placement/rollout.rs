//! Rollout of another version of a model, step by step.

use std::cmp::Reverse;

use pistachioyard_wire::LayerRange;

use super::layer_capacity::LayerCapacity;
use super::{PlacementChange, PlacementEndpoint, PlacementInput, PlacementModel};

/// Decides which endpoints go over to a model's listed version next.
///
/// `target` is a model of the input with the version to roll out. At most
/// `max_share` of the model's endpoints, and at least one, are out of service
/// for it at a time; those still loading count. Until the new version covers all
/// layers, no endpoint is moved that is the last holder of a layer of the old
/// one. An empty answer while old holders are left means that the rollout waits
/// for loads, or for an endpoint to spare.
pub fn next_rollout_step(
    input: &PlacementInput,
    target: &PlacementModel,
    max_share: f64,
) -> Vec<PlacementChange> {
    let mut rollout = Rollout::new(input, target);
    let mut left = rollout.allowance(max_share);
    let mut changes = Vec::new();
    while left > 0 {
        let Some(change) = rollout.next_change() else {
            break;
        };
        changes.push(change);
        left -= 1;
    }
    changes
}

/// The state of one rollout.
struct Rollout<'a> {
    target: &'a PlacementModel,
    /// Usable endpoints that hold nothing or the old version.
    waiting: Vec<&'a PlacementEndpoint>,
    /// The usable endpoints that hold the model in any version.
    holders: usize,
    /// Those of them that are loading.
    out_of_service: usize,
    /// What usable endpoints hold of other versions.
    old: LayerCapacity,
    /// Whether usable endpoints hold every layer of the new version.
    new_covers: bool,
    /// What endpoints hold, load or are about to load of the new version.
    planned: LayerCapacity,
}

impl<'a> Rollout<'a> {
    fn new(input: &'a PlacementInput, target: &'a PlacementModel) -> Self {
        let old_layers = input
            .endpoints
            .iter()
            .filter_map(|endpoint| endpoint.current.as_ref())
            .filter(|held| held.model == target.name && held.version != target.version)
            .map(|held| held.layers.end())
            .fold(target.layers, u32::max);
        let mut ready = LayerCapacity::new(target.layers);
        let mut rollout = Self {
            target,
            waiting: Vec::new(),
            holders: 0,
            out_of_service: 0,
            old: LayerCapacity::new(old_layers),
            new_covers: false,
            planned: LayerCapacity::new(target.layers),
        };
        for endpoint in &input.endpoints {
            rollout.count(endpoint, &mut ready);
        }
        rollout.new_covers = ready.uncovered() == 0;
        rollout
    }

    fn count(&mut self, endpoint: &'a PlacementEndpoint, ready: &mut LayerCapacity) {
        if !endpoint.usable {
            return;
        }
        let Some(held) = &endpoint.current else {
            if endpoint.takes_orders() {
                self.waiting.push(endpoint);
            }
            return;
        };
        if held.model != self.target.name {
            return;
        }
        self.holders += 1;
        self.out_of_service += usize::from(endpoint.loading);
        let rate = endpoint.rate(held.layers.len());
        if held.version == self.target.version {
            self.planned.add(held.layers, rate);
            if !endpoint.loading {
                ready.add(held.layers, rate);
            }
        } else if endpoint.takes_orders() {
            self.old.add(held.layers, rate);
            self.waiting.push(endpoint);
        }
    }

    /// Returns how many more endpoints may be taken out of service.
    fn allowance(&self, max_share: f64) -> usize {
        let allowed = (self.holders as f64 * max_share.clamp(0.0, 1.0)).floor() as usize;
        allowed.max(1).saturating_sub(self.out_of_service)
    }

    /// Picks the next endpoint: one that holds nothing before one in service,
    /// then the one that covers the most, then the one that is missed the least.
    fn next_change(&mut self) -> Option<PlacementChange> {
        let (at, layers) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| self.may_move(endpoint))
            .filter_map(|(at, endpoint)| Some((at, endpoint, self.range_for(endpoint)?)))
            .min_by(|(_, a, a_range), (_, b, b_range)| {
                let key = |endpoint: &PlacementEndpoint, range: &LayerRange| {
                    let covers = self.planned.uncovered_in(*range);
                    (endpoint.current.is_some(), Reverse(covers))
                };
                key(a, a_range)
                    .cmp(&key(b, b_range))
                    .then(self.left_without(b).total_cmp(&self.left_without(a)))
            })
            .map(|(at, _, layers)| (at, layers))?;
        let endpoint = self.waiting.remove(at);
        if let Some(held) = &endpoint.current {
            self.old
                .remove(held.layers, endpoint.rate(held.layers.len()));
        }
        self.planned.add(layers, endpoint.rate(layers.len()));
        Some(PlacementChange {
            endpoint: endpoint.id.clone(),
            hold: self.target.hold(layers),
        })
    }

    /// Tells whether the old version can do without the endpoint.
    fn may_move(&self, endpoint: &PlacementEndpoint) -> bool {
        match &endpoint.current {
            None => true,
            Some(held) => self.new_covers || self.old.is_redundant(held.layers),
        }
    }

    /// Returns the rate that the old version keeps in the endpoint's layers.
    fn left_without(&self, endpoint: &PlacementEndpoint) -> f64 {
        endpoint.current.as_ref().map_or(f64::MAX, |held| {
            self.old.bound_in(held.layers) - endpoint.rate(held.layers.len())
        })
    }

    /// Returns the layers for an endpoint: those that it holds, unless others
    /// are uncovered and none of its own are.
    fn range_for(&self, endpoint: &PlacementEndpoint) -> Option<LayerRange> {
        let same = endpoint.current.as_ref().and_then(|held| {
            LayerRange::new(
                held.layers.first(),
                held.layers.end().min(self.target.layers),
            )
            .ok()
        });
        match (same, self.planned.first_gap()) {
            (Some(same), None) => Some(same),
            (Some(same), Some(_)) if self.planned.uncovered_in(same) > 0 => Some(same),
            (_, Some(gap)) => {
                let most = gap.first().saturating_add(endpoint.layer_capacity);
                LayerRange::new(gap.first(), gap.end().min(most)).ok()
            }
            (None, None) => None,
        }
    }
}
