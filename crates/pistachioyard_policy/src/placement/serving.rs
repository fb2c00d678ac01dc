//! Selection of the model version that serves new requests.

use std::collections::BTreeMap;
use std::time::Instant;

use pistachioyard_wire::{AdapterName, LayerRange, ModelName, ModelPolicy, VersionName};

use crate::FleetView;

/// Returns the version of a model that new requests use.
///
/// This is the configured version if usable endpoints hold all its layers. During a
/// rollout they may not yet. Then it is another version of which they hold all layers;
/// if there are several, the one that the most endpoints hold. With an adapter, only
/// endpoints that have loaded it count. If no version is fully covered, the configured
/// version is returned.
pub fn serving_version(
    fleet: &FleetView,
    model: &ModelName,
    policy: &ModelPolicy,
    adapter: Option<&AdapterName>,
    now: Instant,
) -> VersionName {
    let mut held: BTreeMap<&VersionName, Vec<LayerRange>> = BTreeMap::new();
    for view in fleet.endpoints().filter(|view| view.is_usable(now)) {
        let Some(report) = view.report() else {
            continue;
        };
        let has_adapter = adapter.is_none_or(|adapter| report.adapters.contains(adapter));
        if report.model.as_ref() != Some(model) || !has_adapter {
            continue;
        }
        if let (Some(version), Some(layers)) = (&report.version, report.layers) {
            held.entry(version).or_default().push(layers);
        }
    }
    let covering = held
        .iter()
        .filter(|(_, ranges)| covers_layers(ranges, policy.layers));
    covering
        .max_by_key(|(version, ranges)| (**version == &policy.version, ranges.len()))
        .map_or_else(|| policy.version.clone(), |(version, _)| (*version).clone())
}

/// Returns whether the ranges together cover every layer of a model.
fn covers_layers(ranges: &[LayerRange], layers: u32) -> bool {
    let mut sorted: Vec<(u32, u32)> = ranges.iter().map(|r| (r.first(), r.end())).collect();
    sorted.sort_unstable();
    let covered = sorted.into_iter().fold(0, |covered, (first, end)| {
        if first <= covered {
            covered.max(end)
        } else {
            covered
        }
    });
    covered >= layers
}
