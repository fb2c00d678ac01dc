//! Checks routes and what they lead to.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use super::limits::{check_order, check_positive, check_time};
use super::setting::Setting;
use super::{ConfigFault, ConfigFinding, ConfigParts, ConfigPlace};
use crate::routing::Route;

/// Checks the routes, and that each service has one.
pub(super) fn check(parts: &ConfigParts, findings: &mut Vec<ConfigFinding>) {
    let services: BTreeSet<_> = parts.services.iter().map(|service| &service.name).collect();
    let has_key = parts.workspaces.iter().any(|(_, keys)| !keys.is_empty());
    let needs_keys = !parts.workspaces.is_empty();
    let mut names = HashSet::new();
    let mut first_of: HashMap<_, &Arc<str>> = HashMap::new();
    let mut used = BTreeSet::new();
    for route in &parts.routes {
        let place = ConfigPlace::Route(route.name.clone());
        let mut faults = Vec::new();
        if !names.insert(&route.name) {
            faults.push(ConfigFault::NameTwice);
        }
        faults.extend(check_match(route));
        let key = (&route.host, &route.path_prefix);
        if let Some(by) = first_of.get(&key) {
            faults.push(ConfigFault::Shadowed { by: Arc::clone(by) });
        } else {
            first_of.insert(key, &route.name);
        }
        if needs_keys && !has_key && !route.is_anonymous {
            faults.push(ConfigFault::NoKeyOpensIt);
        }
        faults.extend(check_weights(route));
        for (service, _) in &route.services {
            used.insert(service);
            // A service that is missing may be among the entries that cannot be decoded.
            if parts.is_whole && !services.contains(service) {
                let service = service.clone();
                faults.push(ConfigFault::NoSuchService { service });
            }
        }
        findings.extend(faults.into_iter().map(|fault| ConfigFinding {
            place: place.clone(),
            fault,
        }));
        check_limits(&place, route, findings);
    }
    let mut names = HashSet::new();
    for service in &parts.services {
        let place = ConfigPlace::Service(service.name.clone());
        let mut faults = Vec::new();
        if !names.insert(&service.name) {
            faults.push(ConfigFault::NameTwice);
        }
        if parts.is_whole && !used.contains(&service.name) {
            faults.push(ConfigFault::Unused);
        }
        findings.extend(faults.into_iter().map(|fault| ConfigFinding {
            place: place.clone(),
            fault,
        }));
        let connections = f64::from(service.max_connections);
        check_positive(&place, Setting::MaxConnections, connections, "", findings);
    }
}

/// Checks that requests can match a route.
fn check_match(route: &Route) -> Option<ConfigFault> {
    let (host, prefix) = (&route.host, &route.path_prefix);
    // Callers' hosts are compared without their ports, and paths without their queries.
    if host.is_empty() || host.contains(|c: char| c == ':' || c.is_whitespace()) {
        return Some(ConfigFault::HostNeverMatches { host: host.clone() });
    }
    let is_in_path = |c: char| c != '?' && c != '#' && !c.is_whitespace();
    if !prefix.starts_with('/') || !prefix.chars().all(is_in_path) {
        let prefix = prefix.clone();
        return Some(ConfigFault::PrefixNeverMatches { prefix });
    }
    let prefix = prefix.clone();
    (!prefix.ends_with('/')).then_some(ConfigFault::OpenPrefix { prefix })
}

fn check_weights(route: &Route) -> Vec<ConfigFault> {
    let negative = route.services.iter().filter(|(_, weight)| *weight < 0.0);
    let mut faults: Vec<_> = negative
        .map(|(service, weight)| ConfigFault::NegativeWeight {
            service: service.clone(),
            weight: *weight,
        })
        .collect();
    if !route.services.iter().any(|(_, weight)| *weight > 0.0) {
        faults.push(ConfigFault::NoWeight);
    }
    faults
}

fn check_limits(place: &ConfigPlace, route: &Route, findings: &mut Vec<ConfigFinding>) {
    let timeout = (Setting::Timeout, route.timeout);
    let target = (Setting::LatencyTarget, route.latency_target);
    let gap = route.gap_target.map(|gap| (Setting::GapTarget, gap));
    for (setting, time) in [Some(timeout), Some(target), gap].into_iter().flatten() {
        check_time(place, setting, time, findings);
    }
    for time in [Some(target), gap].into_iter().flatten() {
        check_order(place, time, timeout, findings);
    }
    let attempts = f64::from(route.max_attempts);
    check_positive(place, Setting::MaxAttempts, attempts, "", findings);
}
