//! Stepwise rollout of another version of a model.

use std::cmp::Reverse;

use pistachioyard_wire::LayerRange;

use super::layer_capacity::LayerCapacity;
use super::{PlacementChange, PlacementEndpoint, PlacementInput, PlacementModel};

/// Selects the endpoints that switch to the new version of a model next.
///
/// `target` is a model of the input with the version to roll out. At most the share
/// `max_share` of the model's endpoints, but at least one endpoint, may be out of service
/// for the rollout at a time; endpoints that are still loading count. Until the new version
/// covers all layers, the last holder of a layer of the old version is not moved. An
/// empty result while old holders remain means that the rollout waits for loads to
/// finish or for a spare endpoint.
pub fn next_rollout_step(
    input: &PlacementInput,
    target: &PlacementModel,
    max_share: f64,
) -> Vec<PlacementChange> {
    let mut rollout = Rollout::new(input, target);
    let mut remaining = rollout.allowance(max_share);
    let mut changes = Vec::new();
    while remaining > 0 {
        let Some(change) = rollout.next_change() else {
            break;
        };
        changes.push(change);
        remaining -= 1;
    }
    changes
}

/// The state of one rollout.
struct Rollout<'a> {
    target: &'a PlacementModel,
    /// The usable endpoints that hold nothing or the old version.
    candidates: Vec<&'a PlacementEndpoint>,
    /// The number of usable endpoints that hold any version of the model.
    holders: usize,
    /// The number of those endpoints that are loading.
    out_of_service: usize,
    /// The layers that usable endpoints hold of other versions.
    old: LayerCapacity,
    /// Whether usable endpoints hold every layer of the new version.
    new_is_covered: bool,
    /// The layers of the new version that endpoints hold, load or are about to load.
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
            candidates: Vec::new(),
            holders: 0,
            out_of_service: 0,
            old: LayerCapacity::new(old_layers),
            new_is_covered: false,
            planned: LayerCapacity::new(target.layers),
        };
        for endpoint in &input.endpoints {
            rollout.add_endpoint(endpoint, &mut ready);
        }
        rollout.new_is_covered = ready.uncovered() == 0;
        rollout
    }

    fn add_endpoint(&mut self, endpoint: &'a PlacementEndpoint, ready: &mut LayerCapacity) {
        if !endpoint.usable {
            return;
        }
        let Some(held) = &endpoint.current else {
            if endpoint.takes_orders() {
                self.candidates.push(endpoint);
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
            self.candidates.push(endpoint);
        }
    }

    /// Returns how many more endpoints may be taken out of service.
    fn allowance(&self, max_share: f64) -> usize {
        let allowed = (self.holders as f64 * max_share.clamp(0.0, 1.0)).floor() as usize;
        allowed.max(1).saturating_sub(self.out_of_service)
    }

    /// Selects the next endpoint to change.
    ///
    /// Prefers endpoints that hold nothing, then the one that covers the most uncovered
    /// layers, then the one whose removal leaves the old version the highest rate.
    fn next_change(&mut self) -> Option<PlacementChange> {
        let (index, layers) = self
            .candidates
            .iter()
            .enumerate()
            .filter(|(_, endpoint)| self.may_move(endpoint))
            .filter_map(|(index, endpoint)| Some((index, endpoint, self.range_for(endpoint)?)))
            .min_by(|(_, a, a_range), (_, b, b_range)| {
                let key = |endpoint: &PlacementEndpoint, range: &LayerRange| {
                    let newly_covered = self.planned.uncovered_in(*range);
                    (endpoint.current.is_some(), Reverse(newly_covered))
                };
                key(a, a_range)
                    .cmp(&key(b, b_range))
                    .then(self.remaining_rate(b).total_cmp(&self.remaining_rate(a)))
            })
            .map(|(index, _, layers)| (index, layers))?;
        let endpoint = self.candidates.remove(index);
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

    /// Returns whether every layer of the model stays covered if the endpoint is moved.
    fn may_move(&self, endpoint: &PlacementEndpoint) -> bool {
        match &endpoint.current {
            None => true,
            Some(held) => self.new_is_covered || self.old.is_redundant(held.layers),
        }
    }

    /// Returns the rate that the old version keeps in the endpoint's layers without it.
    fn remaining_rate(&self, endpoint: &PlacementEndpoint) -> f64 {
        endpoint.current.as_ref().map_or(f64::MAX, |held| {
            self.old.min_rate_in(held.layers) - endpoint.rate(held.layers.len())
        })
    }

    /// Returns the layers that an endpoint is to load.
    ///
    /// These are the layers that it holds now, unless the new version already covers
    /// all of them and lacks others.
    fn range_for(&self, endpoint: &PlacementEndpoint) -> Option<LayerRange> {
        let current = endpoint.current.as_ref().and_then(|held| {
            LayerRange::new(
                held.layers.first(),
                held.layers.end().min(self.target.layers),
            )
            .ok()
        });
        match (current, self.planned.first_gap()) {
            (Some(current), None) => Some(current),
            (Some(current), Some(_)) if self.planned.uncovered_in(current) > 0 => Some(current),
            (_, Some(gap)) => {
                let max_end = gap.first().saturating_add(endpoint.layer_capacity);
                LayerRange::new(gap.first(), gap.end().min(max_end)).ok()
            }
            (None, None) => None,
        }
    }
}
