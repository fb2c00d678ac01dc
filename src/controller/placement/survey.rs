//! Collects the input of the placement plan; a loss counts only once it is confirmed.

use std::collections::BTreeMap;

use pistachioyard_policy::{
    ActiveConfig, EndpointView, FleetView, HeldLayers, PlacementEndpoint, PlacementInput,
    PlacementModel,
};
use pistachioyard_wire::{EndpointReport, HostKind};

use super::ServingVersions;
use crate::prelude::*;

/// How long an endpoint must be dead or without a report before its layers are placed
/// elsewhere, in milliseconds.
const LOSS_CONFIRM_MS: u64 = 2_000;
/// How long an endpoint may take to send its first report, in milliseconds.
const FIRST_REPORT_MS: u64 = 10_000;
/// The age below which a report counts as fresh, in milliseconds.
const FRESH_REPORT_MS: u64 = 3_500;
/// The share of lost endpoints above which this entry itself counts as cut off.
const MAX_LOST_SHARE: f64 = 0.5;
/// How long a version must have served before another one is removed, in milliseconds; until
/// then some entries still choose the other one.
const SWITCH_SETTLE_MS: u64 = 3_000;

/// Holds the observations that are kept from one round to the next.
#[derive(Debug, Default)]
pub(super) struct Survey {
    lost_since: BTreeMap<EndpointId, Instant>,
    serving: BTreeMap<ModelName, VersionName>,
    serving_since: Option<Instant>,
}

/// Says whether an endpoint counts in the placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Presence {
    /// It is listed, has reported recently and is neither leaving nor dead.
    Present,
    /// It does not report, but its loss is not confirmed yet.
    Doubtful,
    /// It has not reported yet, and may still do so.
    Unknown,
    /// It is leaving or lost, and nothing is placed on it.
    Gone,
}

impl Survey {
    /// Returns the input of the plan; `None` while too little is known or this entry is cut off.
    pub(super) fn observe(
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
        // Measured from when this process first noticed, so that a pause of the process itself
        // does not confirm a loss.
        let since = *self.lost_since.entry(view.id().clone()).or_insert(now);
        let lost_for = now.saturating_duration_since(since);
        match reported_at {
            None if lost_for < Duration::from_millis(FIRST_REPORT_MS) => Presence::Unknown,
            Some(_) if lost_for < Duration::from_millis(LOSS_CONFIRM_MS) => Presence::Doubtful,
            _ => Presence::Gone,
        }
    }

    /// Records the serving versions, and whether they have served for long enough.
    pub(super) fn record_serving(
        &mut self,
        versions: BTreeMap<ModelName, VersionName>,
        now: Instant,
    ) -> ServingVersions {
        if self.serving != versions {
            self.serving = versions.clone();
            self.serving_since = Some(now);
        }
        let settle = Duration::from_millis(SWITCH_SETTLE_MS);
        let is_settled = self
            .serving_since
            .is_some_and(|since| now.saturating_duration_since(since) >= settle);
        ServingVersions {
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
        // The layers of a doubtful endpoint still count, but it gets no orders.
        loading: report.loading || presence == Presence::Doubtful,
    }
}

/// Returns the configured models, each weighted by the workspaces that may use it.
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
