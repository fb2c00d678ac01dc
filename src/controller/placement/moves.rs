//! Carries out placement changes at endpoints.
//!
//! An endpoint in service is first marked as moving, so that entries give it no new work. It is
//! ordered to load once its streams have ended. If the lease holder stops in between, there is
//! nothing to clean up: the mark expires.

use std::collections::BTreeMap;

use pistachioyard_policy::{
    EndpointView, HeldLayers, PlacementChange, PlacementEndpoint, PlacementInput,
};
use pistachioyard_wire::LayerRange;

use super::ServingVersions;
use crate::controller::orders::{OrderOutcome, Orders};
use crate::prelude::*;

/// The maximum number of endpoints that are drained at the same time.
const MAX_DRAINING: usize = 2;
/// The minimum time for all entries to learn that an endpoint is moving, in milliseconds.
const MARK_PROPAGATION_MS: u64 = 1_000;
/// How long the streams of a moving endpoint may take to end, in milliseconds; the remaining
/// ones then continue at other endpoints.
const DRAIN_LIMIT_MS: u64 = 30_000;
/// How long after an order an endpoint may still report its earlier state, in milliseconds.
const REPORT_LAG_MS: u64 = 1_500;

/// Holds the change of one endpoint.
#[derive(Debug)]
struct Move {
    hold: HeldLayers,
    boot: Option<BootId>,
    begun_at: Instant,
    /// Whether the endpoint is not drained first, because no stream can run on it.
    is_urgent: bool,
    ordered_at: Option<Instant>,
}

/// Holds the changes in progress, by endpoint.
#[derive(Debug, Default)]
pub(super) struct Moves {
    moves: BTreeMap<EndpointId, Move>,
}

impl Moves {
    /// Drops changes that are done, obsolete or about a lost endpoint, and marks the endpoints
    /// of those not ordered yet as moving.
    pub(super) fn update(&mut self, node: &Node, input: &PlacementInput, now: Instant) {
        let mut fleet = node.fleet.lock();
        self.moves.retain(|id, change| {
            let endpoint = input.endpoints.iter().find(|e| e.id == *id);
            let usable = endpoint.is_some_and(|e| e.usable);
            let configured = input.models.iter().any(|m| m.name == change.hold.model);
            fleet.get(id).is_some_and(|view| {
                usable && configured && view.boot() == change.boot && change.is_pending(view)
            })
        });
        for (id, change) in &self.moves {
            if change.ordered_at.is_none() {
                fleet.note_moving(id, now);
            }
        }
    }

    /// Shows the endpoints of changes in progress as loading their new layers, so that the plan
    /// counts on these layers and does not change the endpoints again.
    pub(super) fn apply_to(&self, input: &mut PlacementInput) {
        for endpoint in &mut input.endpoints {
            if let Some(change) = self.moves.get(&endpoint.id) {
                endpoint.current = Some(change.hold.clone());
                endpoint.loading = true;
            }
        }
    }

    /// Begins the planned changes that take no layer away from the serving versions.
    pub(super) fn begin(
        &mut self,
        node: &Node,
        input: &PlacementInput,
        serving: &ServingVersions,
        changes: Vec<PlacementChange>,
        now: Instant,
    ) {
        let mut moving_out: Vec<EndpointId> = Vec::new();
        for change in changes {
            let endpoint = input.endpoints.iter().find(|e| e.id == change.endpoint);
            let Some(endpoint) = endpoint.filter(|e| e.usable && !e.loading) else {
                continue;
            };
            if self.moves.contains_key(&change.endpoint) {
                continue;
            }
            let is_urgent = !is_in_service(input, serving, endpoint);
            let draining = self.moves.values().filter(|m| m.ordered_at.is_none());
            if !is_urgent && draining.count() >= MAX_DRAINING {
                continue;
            }
            if !can_be_spared(input, serving, endpoint, &change.hold, &moving_out) {
                continue;
            }
            moving_out.push(change.endpoint.clone());
            let mut fleet = node.fleet.lock();
            fleet.note_moving(&change.endpoint, now);
            let boot = fleet.get(&change.endpoint).and_then(EndpointView::boot);
            drop(fleet);
            spdlog::info!(
                "placement: {} is to load layers {} of {} {}",
                change.endpoint,
                change.hold.layers,
                change.hold.model,
                change.hold.version
            );
            let new_move = Move {
                hold: change.hold,
                boot,
                begun_at: now,
                is_urgent,
                ordered_at: None,
            };
            self.moves.insert(change.endpoint, new_move);
        }
        if !moving_out.is_empty() {
            node.peers.push_gossip(node);
        }
    }

    /// Orders the layers at the endpoints that are ready to load them.
    pub(super) async fn order(&mut self, node: &Node, orders: &mut Orders) {
        for (id, change) in &mut self.moves {
            let now = Instant::now();
            if change.ordered_at.is_some() || !change.is_ready(node, id, now) {
                continue;
            }
            match orders.hold(id, &change.hold).await {
                OrderOutcome::Accepted | OrderOutcome::Unknown => {
                    change.ordered_at = Some(Instant::now());
                    node.fleet.lock().note_moving(id, Instant::now());
                }
                OrderOutcome::Refused => change.ordered_at = Some(now),
                OrderOutcome::NotSent => return,
            }
        }
    }
}

impl Move {
    /// Tells whether the endpoint's report does not show the result of the order yet.
    fn is_pending(&self, view: &EndpointView) -> bool {
        let Some(ordered_at) = self.ordered_at else {
            return true;
        };
        let Some((report, measured_at)) = view.report().zip(view.measured_at()) else {
            return true;
        };
        let holds = report.model.as_ref() == Some(&self.hold.model)
            && report.version.as_ref() == Some(&self.hold.version)
            && report.layers == Some(self.hold.layers);
        let lag = Duration::from_millis(REPORT_LAG_MS);
        // An endpoint that still reports something else after the lag is planned again.
        !(holds && measured_at > ordered_at || measured_at > ordered_at + lag)
    }

    fn is_ready(&self, node: &Node, id: &EndpointId, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.begun_at);
        if self.is_urgent || elapsed >= Duration::from_millis(DRAIN_LIMIT_MS) {
            return true;
        }
        let propagation = Duration::from_millis(MARK_PROPAGATION_MS);
        let fleet = node.fleet.lock();
        fleet.get(id).is_some_and(|view| {
            let reported_at = view.measured_at();
            let is_idle =
                view.estimated_streams() == 0 && view.own_in_flight() + view.peers_in_flight() == 0;
            is_idle && reported_at.is_some_and(|at| at >= self.begun_at + propagation)
        })
    }
}

/// Tells whether streams may run on an endpoint.
///
/// No streams run on a model with a layer that no endpoint holds or loads.
fn is_in_service(
    input: &PlacementInput,
    serving: &ServingVersions,
    endpoint: &PlacementEndpoint,
) -> bool {
    endpoint
        .current
        .as_ref()
        .is_some_and(|held| !has_uncovered_layer(input, serving, &held.model))
}

/// Tells whether an endpoint can change to `hold` without harm to the serving version.
fn can_be_spared(
    input: &PlacementInput,
    serving: &ServingVersions,
    endpoint: &PlacementEndpoint,
    hold: &HeldLayers,
    moving_out: &[EndpointId],
) -> bool {
    let Some(held) = &endpoint.current else {
        return true;
    };
    let Some(served) = serving.version_of(&held.model) else {
        return true;
    };
    let others = |e: &PlacementEndpoint| {
        e.usable && !e.loading && e.id != endpoint.id && !moving_out.contains(&e.id)
    };
    let is_covered = holds_all(input, held, held.layers, others);
    if *served == held.version {
        let extends = hold.model == held.model
            && hold.version == held.version
            && hold.layers.covers(held.layers);
        is_covered || extends && has_uncovered_layer(input, serving, &held.model)
    } else {
        // Some entries still use this version until all of them have switched to the serving one.
        is_covered || serving.is_settled
    }
}

/// Tells whether a layer of the serving version is neither held nor loaded by any endpoint.
fn has_uncovered_layer(
    input: &PlacementInput,
    serving: &ServingVersions,
    model: &ModelName,
) -> bool {
    let configured = input.models.iter().find(|m| m.name == *model);
    let Some((configured, version)) = configured.zip(serving.version_of(model)) else {
        return false;
    };
    let Ok(layers) = LayerRange::new(0, configured.layers) else {
        return false;
    };
    let served = HeldLayers {
        model: model.clone(),
        version: version.clone(),
        layers,
    };
    !holds_all(input, &served, layers, |e| e.usable)
}

/// Tells whether the endpoints selected by `includes` together hold all of the `layers` of a
/// version.
fn holds_all(
    input: &PlacementInput,
    version: &HeldLayers,
    layers: LayerRange,
    includes: impl Fn(&PlacementEndpoint) -> bool,
) -> bool {
    let ranges: Vec<LayerRange> = input
        .endpoints
        .iter()
        .filter(|e| includes(e))
        .filter_map(|e| e.current.as_ref())
        .filter(|held| held.model == version.model && held.version == version.version)
        .map(|held| held.layers)
        .collect();
    (layers.first()..layers.end()).all(|layer| {
        ranges
            .iter()
            .any(|range| (range.first()..range.end()).contains(&layer))
    })
}
