//! Which route a request takes, and which workspace it belongs to.
//!
//! A [`RouteTable`] is one accepted configuration, indexed for look-ups. See
//! `docs/design/operators-platform.md`.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::{ServiceName, WorkspaceName};
use rand::Rng;

use crate::pipeline::PipelineSpec;

/// What may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Repeatability {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once for each request.
    AtMostOnce,
    /// It is a stream that may go on at another endpoint after its last whole event.
    Resumable,
}

/// How the requests of a route are treated.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host of its requests.
    pub host: Arc<str>,
    /// How their paths begin.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub repeatability: Repeatability,
    /// Whether answers are streams of events.
    pub is_stream: bool,
    /// The longest time that a caller is kept waiting for the end of its answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is worth most.
    pub latency_target: Duration,
    /// The longest pause between two events of a stream that is on time.
    pub gap_target: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// The endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it takes requests without a key.
    pub is_anonymous: bool,
    /// The services that its requests are split over, by weight.
    pub services: Vec<(ServiceName, f64)>,
}

impl Route {
    /// Picks a service by the weights of the split.
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

/// A service that requests are sent to.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The most connections that one of its endpoints accepts.
    pub max_connections: u32,
    /// The model that its endpoints hold in parts; none for a plain service.
    pub pipeline: Option<Arc<PipelineSpec>>,
}

/// Who a key belongs to.
#[derive(Clone, Debug)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceName,
    /// Its rank, which goes before the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub max_header_bytes: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a request head may take to arrive.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// One configuration, indexed.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// The version that the operator gave it.
    pub version: u64,
    /// What callers may send.
    pub limits: CallerLimits,
    services: BTreeMap<ServiceName, Service>,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    keys: HashMap<Arc<str>, Arc<Workspace>>,
    has_workspaces: bool,
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
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        // The longest prefix stands first, so the first match is the right one.
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
        }
    }

    /// Finds the route of a request; the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|r| path.starts_with(&*r.path_prefix))
    }

    /// Finds the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Tells whether requests of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.has_workspaces && !route.is_anonymous
    }

    /// Finds a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Lists the services whose endpoints hold a model in parts.
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
