//! Compares two configurations.

use std::collections::{BTreeMap, BTreeSet};

use super::limits::{ms, with_unit};
use super::setting::Setting;
use super::workspaces::key_digest;
use super::{ConfigChange, ConfigParts, ConfigPlace};
use crate::pipeline::{Card, PipelineSpec};
use crate::routing::{CallerLimits, Repeatability, Route, Service};

/// Holds the settings of an entry as text.
type Values = BTreeMap<Setting, String>;
/// Holds the settings of all entries. Of entries with equal names, each has a number.
type Entries = BTreeMap<(ConfigPlace, usize), Values>;

/// Returns what differs from the configuration in force, ordered by place.
pub fn compare_configs(in_force: &ConfigParts, new: &ConfigParts) -> Vec<ConfigChange> {
    let (old_entries, new_entries) = (entries(in_force), entries(new));
    let places: BTreeSet<_> = old_entries.keys().chain(new_entries.keys()).collect();
    let (old_keys, new_keys) = (keys(in_force), keys(new));
    let mut changes = Vec::new();
    for at in places {
        let place = &at.0;
        match (old_entries.get(at), new_entries.get(at)) {
            (Some(old), Some(new)) => {
                changes.extend(compare_values(place, old, new));
                changes.extend(compare_keys(place, old_keys.get(at), new_keys.get(at)));
            }
            (None, _) => changes.push(ConfigChange::Added(place.clone())),
            (Some(_), None) => changes.push(ConfigChange::Removed(place.clone())),
        }
    }
    changes
}

fn compare_values<'a>(
    place: &'a ConfigPlace,
    old: &'a Values,
    new: &'a Values,
) -> impl Iterator<Item = ConfigChange> + 'a {
    let settings: BTreeSet<_> = old.keys().chain(new.keys()).copied().collect();
    settings.into_iter().filter_map(move |setting| {
        let (from, to) = (old.get(&setting), new.get(&setting));
        (from != to).then(|| ConfigChange::Changed {
            place: place.clone(),
            setting,
            from: from.cloned(),
            to: to.cloned(),
        })
    })
}

fn compare_keys(
    place: &ConfigPlace,
    old: Option<&BTreeSet<String>>,
    new: Option<&BTreeSet<String>>,
) -> Option<ConfigChange> {
    let (old, new) = (old?, new?);
    (old != new).then(|| ConfigChange::KeysChanged {
        place: place.clone(),
        added: new.difference(old).cloned().collect(),
        removed: old.difference(new).cloned().collect(),
    })
}

/// Numbers the entries of the same place.
fn number<T>(entries: impl Iterator<Item = (ConfigPlace, T)>) -> BTreeMap<(ConfigPlace, usize), T> {
    let mut counts = BTreeMap::new();
    let numbered = entries.map(|(place, values)| {
        let count = counts.entry(place.clone()).or_insert(0);
        *count += 1;
        ((place, *count), values)
    });
    numbered.collect()
}

fn entries(parts: &ConfigParts) -> Entries {
    let whole = Values::from([(Setting::Version, parts.version.to_string())]);
    let fixed = [
        (ConfigPlace::Whole, whole),
        (ConfigPlace::Limits, limit_values(&parts.limits)),
    ];
    let services = parts.services.iter().map(|service| {
        let place = ConfigPlace::Service(service.name.clone());
        (place, service_values(service))
    });
    let cards = parts.services.iter().flat_map(|service| {
        let cards = service.pipeline.iter().flat_map(|spec| &spec.cards);
        cards.map(|(name, card)| {
            let place = ConfigPlace::Card(service.name.clone(), name.clone());
            (place, card_values(card))
        })
    });
    let workspaces = parts.workspaces.iter().map(|(workspace, _)| {
        let priority = workspace
            .priority
            .map(|p| (Setting::Priority, p.to_string()));
        let place = ConfigPlace::Workspace(workspace.name.clone());
        (place, priority.into_iter().collect())
    });
    let routes = parts.routes.iter().map(|route| {
        let place = ConfigPlace::Route(route.name.clone());
        (place, route_values(route))
    });
    let entries = fixed.into_iter().chain(services).chain(cards);
    number(entries.chain(workspaces).chain(routes))
}

/// Returns the digests of the keys of each workspace.
fn keys(parts: &ConfigParts) -> BTreeMap<(ConfigPlace, usize), BTreeSet<String>> {
    number(parts.workspaces.iter().map(|(workspace, keys)| {
        let digests = keys.iter().map(|key| key_digest(key)).collect();
        (ConfigPlace::Workspace(workspace.name.clone()), digests)
    }))
}

fn limit_values(limits: &CallerLimits) -> Values {
    Values::from([
        (
            Setting::MaxHeader,
            format!("{} bytes", limits.max_header_bytes),
        ),
        (Setting::MaxBody, format!("{} bytes", limits.max_body_bytes)),
        (Setting::HeaderTimeout, ms(limits.header_timeout)),
        (Setting::IdleTimeout, ms(limits.idle_timeout)),
    ])
}

fn route_values(route: &Route) -> Values {
    let repeatability = match route.repeatability {
        Repeatability::Idempotent => "idempotent",
        Repeatability::AtMostOnce => "at most once",
        Repeatability::Resumable => "resumable",
    };
    let services = route.services.iter();
    let services: Vec<_> = services
        .map(|(name, weight)| format!("{name} {weight}"))
        .collect();
    let mut values = Values::from([
        (Setting::Host, route.host.to_string()),
        (Setting::PathPrefix, route.path_prefix.to_string()),
        (Setting::Repeatability, repeatability.to_owned()),
        (Setting::Stream, route.is_stream.to_string()),
        (Setting::Timeout, ms(route.timeout)),
        (Setting::LatencyTarget, ms(route.latency_target)),
        (Setting::Priority, route.priority.to_string()),
        (Setting::MaxAttempts, route.max_attempts.to_string()),
        (Setting::Anonymous, route.is_anonymous.to_string()),
        (Setting::Services, services.join(", ")),
    ]);
    values.extend(route.gap_target.map(|gap| (Setting::GapTarget, ms(gap))));
    values
}

fn service_values(service: &Service) -> Values {
    let connections = service.max_connections.to_string();
    let mut values = Values::from([(Setting::MaxConnections, connections)]);
    values.extend(service.pipeline.iter().flat_map(|spec| spec_values(spec)));
    values
}

fn spec_values(spec: &PipelineSpec) -> Values {
    let mut values = Values::from([
        (Setting::Model, spec.model.to_string()),
        (Setting::Layers, spec.layers.to_string()),
        (Setting::LayerSize, with_unit(spec.layer_mb, "MB")),
        (
            Setting::KvTokenBytes,
            with_unit(spec.kv_token_bytes, "bytes"),
        ),
        (Setting::Slots, spec.slots.to_string()),
        (Setting::StepTime, with_unit(spec.step_ms, "ms")),
        (
            Setting::StepTimeOfRequest,
            with_unit(spec.step_per_request_ms, "ms"),
        ),
        (
            Setting::StepTimeOfContext,
            with_unit(spec.step_per_1k_context_ms, "ms"),
        ),
        (
            Setting::PrefillRate,
            with_unit(spec.prefill_tokens_per_ms, "tokens/ms"),
        ),
        (Setting::LoadTime, with_unit(spec.load_ms, "ms")),
        (Setting::LoadsAtOnce, spec.loads_at_once.to_string()),
        (
            Setting::PromptTokens,
            with_unit(spec.mean_prompt_tokens, "tokens"),
        ),
        (
            Setting::AnswerTokens,
            with_unit(spec.mean_answer_tokens, "tokens"),
        ),
        (
            Setting::ActivationBytes,
            with_unit(spec.activation_bytes, "bytes"),
        ),
        (
            Setting::CrossingDelay,
            with_unit(spec.crossing_delay_ms, "ms"),
        ),
        (Setting::ReportLag, with_unit(spec.report_lag_ms, "ms")),
    ]);
    let rate = spec.pipe_mbps;
    values.extend(rate.map(|mbps| (Setting::LinkRate, with_unit(mbps, "Mbit/s"))));
    values
}

fn card_values(card: &Card) -> Values {
    Values::from([
        (Setting::Memory, with_unit(card.memory_mb, "MB")),
        (Setting::StepFactor, with_unit(card.step_factor, "")),
        (Setting::PrefillFactor, with_unit(card.prefill_factor, "")),
    ])
}
