//! Finds the route of a request and the workspace that it belongs to.
//!
//! A [`RouteTable`] is one accepted configuration, indexed for lookups. See
//! `docs/design/operators-platform.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::{ServiceName, WorkspaceName};
use rand::Rng;

use crate::pipeline::PipelineSpec;

/// Says whether a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// It may run more than once.
    Idempotent,
    /// It must run at most once.
    AtMostOnce,
    /// It is a stream that may resume at another endpoint after its last complete event.
    Resumable,
}

/// Says how the requests of a route are handled.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host name that its requests are addressed to.
    pub host: Arc<str>,
    /// The prefix of its requests' paths.
    pub path_prefix: Arc<str>,
    /// Whether its requests may be repeated.
    pub repeatability: Repeatability,
    /// Whether its answers are event streams.
    pub is_stream: bool,
    /// The longest time that a caller waits for the end of its answer.
    pub timeout: Duration,
    /// The latency target of an answer, or of a stream's first event.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that meets its target.
    pub gap_target: Option<Duration>,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it accepts requests without an API key.
    pub is_anonymous: bool,
    /// The services among which its requests are split, with their weights.
    pub services: Vec<(ServiceName, f64)>,
}

impl Route {
    /// Picks a service at random by the weights of the split.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceName> {
        if let [(only, _)] = self.services.as_slice() {
            return Some(only);
        }
        let total: f64 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut point = rng.random::<f64>() * total;
        self.services
            .iter()
            .find(|(_, weight)| {
                point -= weight;
                point < 0.0
            })
            .or(self.services.iter().find(|(_, weight)| *weight > 0.0))
            .map(|(service, _)| service)
    }
}

/// Describes a service that requests are sent to.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The maximum number of connections that one of its endpoints accepts.
    pub max_connections: u32,
    /// The model whose layers are split over its endpoints; `None` for a plain service.
    pub pipeline: Option<Arc<PipelineSpec>>,
}

/// Describes the workspace that an API key belongs to.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Its priority, which overrides the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits what a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The longest time that a request head may take to arrive.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// Holds one configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version number that the operator gave it.
    pub version: u64,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
    services: BTreeMap<ServiceName, Service>,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    has_workspaces: bool,
    /// The services whose requests are not all equally urgent.
    ranked: BTreeSet<ServiceName>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
        workspaces: Vec<(Workspace, Vec<Arc<str>>)>,
    ) -> Self {
        let ranked = ranked_services(&routes, &workspaces);
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        // Longest prefix first, so that the first match is the longest.
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_workspaces = !workspaces.is_empty();
        let keys = workspaces.into_iter().flat_map(|(workspace, keys)| {
            let workspace = Arc::new(workspace);
            keys.into_iter().map(move |key| (key, workspace.clone()))
        });
        Self {
            version,
            limits,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            routes: by_host,
            keys: keys.collect(),
            has_workspaces,
            ranked,
        }
    }

    /// Returns the route of a request; the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Returns the workspace that an API key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns whether requests of a route need an API key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_workspaces && !route.is_anonymous
    }

    /// Returns whether requests compete for the room of a service: those of routes of unlike urgency,
    /// or of workspaces.
    pub fn is_contended(&self, service: &ServiceName) -> bool {
        self.has_workspaces || self.is_ranked(service)
    }

    /// Returns the service with a name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Returns the names of all services.
    pub fn service_names(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Returns all services that the configuration names, also those that only routes name.
    pub fn named_services(&self) -> BTreeSet<ServiceName> {
        let routes = self.routes.values().flatten();
        let of_routes = routes.flat_map(|route| route.services.iter().map(|(name, _)| name));
        self.service_names().chain(of_routes).cloned().collect()
    }

    /// Returns whether the requests for a service are of unlike urgency.
    pub fn is_ranked(&self, service: &ServiceName) -> bool {
        self.ranked.contains(service)
    }

    /// Returns the services whose endpoints each hold a part of a model, with their models.
    pub fn pipelines(&self) -> impl Iterator<Item = (&ServiceName, &Arc<PipelineSpec>)> {
        self.services
            .iter()
            .filter_map(|(name, service)| Some((name, service.pipeline.as_ref()?)))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

/// Returns the services that requests of unlike urgency go to.
fn ranked_services(
    routes: &[Route],
    workspaces: &[(Workspace, Vec<Arc<str>>)],
) -> BTreeSet<ServiceName> {
    let mut urgencies: BTreeMap<&ServiceName, BTreeSet<u8>> = BTreeMap::new();
    for route in routes {
        let of_workspaces = workspaces.iter().filter_map(|(w, _)| w.priority);
        for (service, _) in &route.services {
            let known = urgencies.entry(service).or_default();
            known.insert(route.priority);
            known.extend(of_workspaces.clone());
        }
    }
    let ranked = urgencies.into_iter().filter(|(_, known)| known.len() > 1);
    ranked.map(|(service, _)| service.clone()).collect()
}
