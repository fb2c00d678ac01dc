//! Changes that endpoints are being led through.
//!
//! An endpoint in service is first marked as moving, so that entries give it no
//! new work, and is ordered to load once its streams have ended. A holder that
//! stops in between leaves nothing behind: the mark ages out.

use std::collections::BTreeMap;

use pistachioyard_policy::{
    EndpointView, HeldLayers, PlacementChange, PlacementEndpoint, PlacementInput,
};
use pistachioyard_wire::LayerRange;

use super::Serving;
use crate::controller::orders::{Orders, Sent};
use crate::prelude::*;

/// The endpoints in service that are led out of it at the same time.
const MAX_DRAINING: usize = 2;
/// The least time that entries get to hear that an endpoint is moving, in
/// milliseconds.
const MARK_SPREAD_MS: u64 = 1_000;
/// How long the streams of a moving endpoint may take to end, in milliseconds;
/// those left then go on at other endpoints.
const DRAIN_LIMIT_MS: u64 = 30_000;
/// How long after an order an endpoint's report may still be the old one, in
/// milliseconds.
const REPORT_LAG_MS: u64 = 1_500;

/// One endpoint's change.
#[derive(Debug)]
struct Move {
    hold: HeldLayers,
    boot: Option<BootId>,
    begun_at: Instant,
    /// Whether its streams are not waited for, because none can go on.
    is_urgent: bool,
    ordered_at: Option<Instant>,
}

/// All changes in progress.
#[derive(Debug, Default)]
pub(super) struct Moves {
    moves: BTreeMap<EndpointId, Move>,
}

impl Moves {
    /// Drops changes that are done, undone or about an endpoint that is lost.
    pub(super) fn follow(&mut self, node: &Node, input: &PlacementInput, now: Instant) {
        let mut fleet = node.fleet.lock();
        self.moves.retain(|id, change| {
            let endpoint = input.endpoints.iter().find(|e| e.id == *id);
            let usable = endpoint.is_some_and(|e| e.usable);
            let configured = input.models.iter().any(|m| m.name == change.hold.model);
            fleet.get(id).is_some_and(|view| {
                usable && configured && view.boot() == change.boot && change.is_open(view)
            })
        });
        for (id, change) in &self.moves {
            if change.ordered_at.is_none() {
                fleet.note_moving(id, now);
            }
        }
    }

    /// Shows every change in progress as being loaded, so that the plan counts on
    /// it and leaves it alone.
    pub(super) fn overlay(&self, input: &mut PlacementInput) {
        for endpoint in &mut input.endpoints {
            if let Some(change) = self.moves.get(&endpoint.id) {
                endpoint.current = Some(change.hold.clone());
                endpoint.loading = true;
            }
        }
    }

    /// Takes up the planned changes that take nothing from what serves now.
    pub(super) fn begin(
        &mut self,
        node: &Node,
        input: &PlacementInput,
        serving: &Serving,
        changes: Vec<PlacementChange>,
        now: Instant,
    ) {
        let mut out: Vec<EndpointId> = Vec::new();
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
            if !may_leave(input, serving, endpoint, &change.hold, &out) {
                continue;
            }
            out.push(change.endpoint.clone());
            let mut fleet = node.fleet.lock();
            fleet.note_moving(&change.endpoint, now);
            let boot = fleet.get(&change.endpoint).and_then(EndpointView::boot);
            drop(fleet);
            spdlog::info!(
                "placement: {} shall hold {} of {} {}",
                change.endpoint,
                change.hold.layers,
                change.hold.model,
                change.hold.version
            );
            let begun = Move {
                hold: change.hold,
                boot,
                begun_at: now,
                is_urgent,
                ordered_at: None,
            };
            self.moves.insert(change.endpoint, begun);
        }
        if !out.is_empty() {
            node.peers.push_gossip(node);
        }
    }

    /// Orders the endpoints that are ready to load.
    pub(super) async fn order(&mut self, node: &Node, orders: &mut Orders) {
        for (id, change) in &mut self.moves {
            let now = Instant::now();
            if change.ordered_at.is_some() || !change.is_ready(node, id, now) {
                continue;
            }
            match orders.hold(id, &change.hold).await {
                Sent::Taken | Sent::Unknown => {
                    change.ordered_at = Some(Instant::now());
                    node.fleet.lock().note_moving(id, Instant::now());
                }
                Sent::Refused => change.ordered_at = Some(now),
                Sent::NotNow => return,
            }
        }
    }
}

impl Move {
    /// Tells whether the endpoint's report does not answer the order yet.
    fn is_open(&self, view: &EndpointView) -> bool {
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
        // One that reports something else well after the order is decided on anew.
        !(holds && measured_at > ordered_at || measured_at > ordered_at + lag)
    }

    fn is_ready(&self, node: &Node, id: &EndpointId, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.begun_at);
        if self.is_urgent || passed >= Duration::from_millis(DRAIN_LIMIT_MS) {
            return true;
        }
        let spread = Duration::from_millis(MARK_SPREAD_MS);
        let fleet = node.fleet.lock();
        fleet.get(id).is_some_and(|view| {
            let reported_at = view.measured_at();
            let is_idle =
                view.estimated_streams() == 0 && view.own_in_flight() + view.peers_in_flight() == 0;
            is_idle && reported_at.is_some_and(|at| at >= self.begun_at + spread)
        })
    }
}

/// Tells whether streams may run on an endpoint; a model with a layer that nobody
/// holds or loads runs none.
fn is_in_service(input: &PlacementInput, serving: &Serving, endpoint: &PlacementEndpoint) -> bool {
    endpoint
        .current
        .as_ref()
        .is_some_and(|held| !has_hole(input, serving, &held.model))
}

/// Tells whether what serves now can do without an endpoint.
fn may_leave(
    input: &PlacementInput,
    serving: &Serving,
    endpoint: &PlacementEndpoint,
    hold: &HeldLayers,
    out: &[EndpointId],
) -> bool {
    let Some(held) = &endpoint.current else {
        return true;
    };
    let Some(served) = serving.of(&held.model) else {
        return true;
    };
    let others = |e: &PlacementEndpoint| {
        e.usable && !e.loading && e.id != endpoint.id && !out.contains(&e.id)
    };
    let is_spare = holds_all(input, held, held.layers, others);
    if *served == held.version {
        let extends = hold.model == held.model
            && hold.version == held.version
            && hold.layers.covers(held.layers);
        is_spare || extends && has_hole(input, serving, &held.model)
    } else {
        // Until all entries see the other version serve, some use this one.
        is_spare || serving.is_settled
    }
}

/// Tells whether nobody holds or loads some layer of the version that serves.
fn has_hole(input: &PlacementInput, serving: &Serving, model: &ModelName) -> bool {
    let configured = input.models.iter().find(|m| m.name == *model);
    let Some((configured, version)) = configured.zip(serving.of(model)) else {
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

/// Tells whether the endpoints that `counts` picks hold each of some layers of a
/// version.
fn holds_all(
    input: &PlacementInput,
    version: &HeldLayers,
    layers: LayerRange,
    counts: impl Fn(&PlacementEndpoint) -> bool,
) -> bool {
    let ranges: Vec<LayerRange> = input
        .endpoints
        .iter()
        .filter(|e| counts(e))
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
