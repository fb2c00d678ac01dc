//! What the placement is decided on, with losses confirmed before they count.

use std::collections::BTreeMap;

use pistachioyard_policy::{
    ActiveConfig, EndpointView, FleetView, HeldLayers, PlacementEndpoint, PlacementInput,
    PlacementModel,
};
use pistachioyard_wire::{EndpointReport, HostKind};

use super::Serving;
use crate::prelude::*;

/// How long an endpoint must be lost before weights are moved for it, in
/// milliseconds; it is dead or has not reported all that time.
const LOSS_CONFIRM_MS: u64 = 2_000;
/// How long an endpoint may take to report for the first time, in milliseconds.
const FIRST_REPORT_MS: u64 = 10_000;
/// The age up to which a report counts as fresh, in milliseconds.
const FRESH_REPORT_MS: u64 = 3_500;
/// The share of endpoints above which a loss is taken for this entry's own.
const MAX_LOST_SHARE: f64 = 0.5;
/// How long a version must have served before another one is taken away, in
/// milliseconds; until then some entries still choose the other one.
const SWITCH_SETTLE_MS: u64 = 3_000;

/// What is remembered from one look at the fleet to the next.
#[derive(Debug, Default)]
pub(super) struct Survey {
    lost_since: BTreeMap<EndpointId, Instant>,
    serving: BTreeMap<ModelName, VersionName>,
    serving_since: Option<Instant>,
}

/// How far an endpoint can be counted on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    /// It reports and is neither leaving nor dead.
    Present,
    /// It does not answer, but not for long enough to act on.
    Doubtful,
    /// It has never reported, and may yet do so.
    Unknown,
    /// Nothing is to be placed on it.
    Gone,
}

impl Survey {
    /// Returns what to decide on; none while too little is known.
    pub(super) fn look(
        &mut self,
        fleet: &FleetView,
        active: &ActiveConfig,
        now: Instant,
    ) -> Option<PlacementInput> {
        let engines: Vec<&EndpointView> = fleet
            .endpoints()
            .filter(|view| matches!(view.kind(), HostKind::Engine { .. }))
            .collect();
        self.lost_since
            .retain(|id, _| engines.iter().any(|view| view.id() == id));
        let mut endpoints = Vec::with_capacity(engines.len());
        let mut lost = 0_usize;
        for view in &engines {
            let presence = self.presence(view, now);
            if presence == Presence::Unknown {
                return None;
            }
            lost += usize::from(presence == Presence::Gone && !view.is_leaving());
            if let Some(report) = view.report() {
                endpoints.push(placement_endpoint(view, report, presence));
            }
        }
        let is_cut_off = lost as f64 > engines.len() as f64 * MAX_LOST_SHARE;
        (!engines.is_empty() && !is_cut_off).then(|| PlacementInput {
            endpoints,
            models: models(active),
        })
    }

    fn presence(&mut self, view: &EndpointView, now: Instant) -> Presence {
        if view.is_leaving() {
            return Presence::Gone;
        }
        let fresh = Duration::from_millis(FRESH_REPORT_MS);
        let reported_at = view.measured_at();
        let is_fresh = reported_at.is_some_and(|at| now.saturating_duration_since(at) < fresh);
        if is_fresh && view.is_listed() && !view.is_dead(now) {
            self.lost_since.remove(view.id());
            return Presence::Present;
        }
        // Counted from when this process noticed, so that a pause of its own
        // does not confirm anything.
        let since = *self.lost_since.entry(view.id().clone()).or_insert(now);
        let lost_for = now.saturating_duration_since(since);
        match reported_at {
            None if lost_for < Duration::from_millis(FIRST_REPORT_MS) => Presence::Unknown,
            Some(_) if lost_for < Duration::from_millis(LOSS_CONFIRM_MS) => Presence::Doubtful,
            _ => Presence::Gone,
        }
    }

    /// Notes which versions serve, and tells whether that has lasted.
    pub(super) fn note_serving(
        &mut self,
        versions: BTreeMap<ModelName, VersionName>,
        now: Instant,
    ) -> Serving {
        if self.serving != versions {
            self.serving = versions.clone();
            self.serving_since = Some(now);
        }
        let settle = Duration::from_millis(SWITCH_SETTLE_MS);
        let is_settled = self
            .serving_since
            .is_some_and(|since| now.saturating_duration_since(since) >= settle);
        Serving {
            versions,
            is_settled,
        }
    }
}

fn placement_endpoint(
    view: &EndpointView,
    report: &EndpointReport,
    presence: Presence,
) -> PlacementEndpoint {
    let current = match (&report.model, &report.version, report.layers) {
        (Some(model), Some(version), Some(layers)) => Some(HeldLayers {
            model: model.clone(),
            version: version.clone(),
            layers,
        }),
        _ => None,
    };
    let layers = report
        .layers
        .map_or(report.layer_capacity, |layers| layers.len());
    PlacementEndpoint {
        id: view.id().clone(),
        layer_tokens_per_second: report.tokens_per_second * f64::from(layers),
        layer_capacity: report.layer_capacity,
        data_centre: view.data_centre().clone(),
        current,
        usable: presence != Presence::Gone,
        // What a doubtful endpoint holds still counts, but it gets no orders.
        loading: report.loading || presence == Presence::Doubtful,
    }
}

/// Returns the configured models, weighted by the workspaces that may use them.
fn models(active: &ActiveConfig) -> Vec<PlacementModel> {
    let workspaces = active.config.workspaces();
    let weight = |name: &ModelName| {
        let users = workspaces.values().filter(|w| w.models.contains(name));
        users.map(|w| f64::from(w.weight)).sum::<f64>().max(1.0)
    };
    let models = active.config.models().iter();
    models
        .map(|(name, policy)| PlacementModel {
            name: name.clone(),
            version: policy.version.clone(),
            layers: policy.layers,
            weight: weight(name),
            adapters: policy.adapters.clone(),
        })
        .collect()
}
