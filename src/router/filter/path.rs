//! Finds paths for streams by the current state, without waiting.

use pistachioyard_policy::{
    CrossingLimiter, EndpointRun, NoPath, Path, PathQuery, PathStage, PipelineSpec, RequestSize,
    StageOffer, choose_path, choose_plain_endpoint, crossing_ms, max_reading, repair_path,
};
use pistachioyard_wire::{LayerRange, ServiceName};

use super::Call;
use crate::prelude::*;
use crate::router::admission::Contender;
use crate::router::relay_hop::PeerHop;
use crate::router::{LoadControl, Router, metric};

/// Describes the stream that needs a path.
#[derive(Clone, Copy)]
pub(crate) struct PathRequest<'a> {
    pub(crate) service: &'a ServiceName,
    /// The model whose layers are split over endpoints; `None` for a plain service.
    pub(crate) spec: Option<&'a PipelineSpec>,
    pub(crate) size: RequestSize,
    /// The endpoint that must be the first of the path, if any.
    pub(crate) first: Option<&'a EndpointId>,
    /// The endpoints that must not be on the path.
    pub(crate) without: &'a [EndpointId],
    /// When the request has to get its first event; `None` if it waits as long as it takes.
    pub(crate) first_event: Option<FirstEventTarget>,
    /// The request as one that leaves room for others; none if it leaves none.
    pub(crate) contender: Option<Contender>,
}

impl PathRequest<'_> {
    /// Returns whether nothing has run yet, so that the request may be refused.
    pub(super) fn may_be_refused(&self) -> bool {
        self.first_event.is_some()
    }
}

/// Holds the time in which a request has to get its first event.
#[derive(Clone, Copy)]
pub(crate) struct FirstEventTarget {
    pub(crate) arrived_at: Instant,
    pub(crate) latency_target: Duration,
}

impl FirstEventTarget {
    fn max_reading(self, now: Instant) -> Duration {
        let waited = now.saturating_duration_since(self.arrived_at);
        max_reading(self.latency_target, waited)
    }
}

/// Holds a path and the age of the oldest endpoint record that it was chosen by.
pub(crate) struct FoundPath {
    pub(crate) path: Path,
    /// The peer to which the request is passed on, in place of an endpoint.
    pub(crate) peer: Option<PeerHop>,
    /// The run of the first endpoint, to which the request is sent.
    pub(crate) first_run: EndpointRun,
    pub(crate) oldest_entry_age: Duration,
}

/// Chooses a path from the current state, without waiting.
pub(crate) fn find_path(router: &Router, request: &PathRequest<'_>) -> Result<FoundPath, NoPath> {
    let now = Instant::now();
    let path = match request.spec {
        Some(spec) => find_pipeline_path(router, request, spec, now)?,
        None => find_plain_endpoint(router, request, now)?,
    };
    let endpoints = router.endpoints.lock();
    let ages = path
        .stages
        .iter()
        .filter_map(|s| endpoints.age(&s.endpoint, now));
    let oldest_entry_age = ages.max().unwrap_or_default();
    Ok(FoundPath {
        first_run: endpoints.run_of(&path.stages[0].endpoint),
        path,
        peer: None,
        oldest_entry_age,
    })
}

/// Chooses a path, or a peer that serves the request if this entry does not reach the endpoints.
pub(crate) fn find_path_or_peer(
    router: &Router,
    call: &Call,
    request: &PathRequest<'_>,
) -> Result<FoundPath, NoPath> {
    let is_lost = router.is_out_of_reach(request.service);
    let no_path = match find_path(router, request) {
        Ok(found) if !is_lost => return Ok(found),
        Err(no_path) if !is_lost => no_path,
        Ok(_) | Err(_) => NoPath::OutOfReach,
    };
    if call.is_relayed || request.first.is_some() {
        return Err(no_path);
    }
    let hop = router.find_peer_hop(request.service, request.without);
    hop.map(through_peer).ok_or(no_path)
}

/// Returns a peer as a path of one stage.
fn through_peer(peer: PeerHop) -> FoundPath {
    let stage = PathStage {
        endpoint: peer.name.clone(),
        address: peer.address,
        layers: LayerRange::WHOLE,
    };
    FoundPath {
        path: Path {
            stages: vec![stage],
            crossings: 0,
            cost_ms: 0.0,
        },
        first_run: EndpointRun {
            endpoint: peer.name.clone(),
            started_unix_ms: None,
        },
        peer: Some(peer),
        oldest_entry_age: Duration::ZERO,
    }
}

/// Chooses an endpoint of a plain service and returns it as a path of one stage.
fn find_plain_endpoint(
    router: &Router,
    request: &PathRequest<'_>,
    now: Instant,
) -> Result<Path, NoPath> {
    let endpoints = router.endpoints.lock();
    let mut usable = endpoints.with_room(request.service, now);
    usable.retain(|record| request.first.is_none_or(|first| *first == record.endpoint));
    usable.retain(|record| !request.without.contains(&record.endpoint));
    let latency = router.plain_latency.lock();
    let load = router.load.lock();
    let home = &router.settings.data_centre;
    let chosen = choose_plain_endpoint(&usable, &latency, &load, home, now, &mut rand::rng());
    let record = chosen.ok_or(NoPath::Gap { layer: 0 })?;
    Ok(Path {
        stages: vec![PathStage {
            endpoint: record.endpoint.clone(),
            address: record.address,
            layers: LayerRange::WHOLE,
        }],
        crossings: 0,
        cost_ms: latency.expected_ms(&record.endpoint, now),
    })
}

fn find_pipeline_path(
    router: &Router,
    request: &PathRequest<'_>,
    spec: &PipelineSpec,
    now: Instant,
) -> Result<Path, NoPath> {
    let mut offers = offers(router, request.service, spec, now);
    offers.retain(|offer| !request.without.contains(&offer.endpoint));
    let departures = router.departure_terms(request.service, spec);
    let mut query = PathQuery {
        departures: departures.as_ref(),
        ..query(router, request, spec, now)
    };
    if let Some(contender) = &request.contender {
        query.reserve = router.reserve(contender, spec, &offers, query.near_peers, now);
    }
    let path = choose_path(spec, &offers, &query, &mut rand::rng())?;
    let first = &path.stages[0].endpoint;
    if let Some(offer) = offers.iter().find(|offer| offer.endpoint == *first) {
        metric::count_start(request.service, query.start_at(&offer.data_centre));
    }
    charge_crossings(router, request, &path);
    Ok(path)
}

/// Chooses endpoints that take over the layers of lost ones on a path that is in use.
pub(crate) fn repair(
    router: &Router,
    request: &PathRequest<'_>,
    spec: &PipelineSpec,
    path: &Path,
    lost: &[EndpointId],
) -> Result<Path, NoPath> {
    let now = Instant::now();
    let mut offers = offers(router, request.service, spec, now);
    offers.retain(|offer| !lost.contains(&offer.endpoint));
    // Crossings between data centres are not allowed. A repair prefills the whole
    // prompt at once, and many streams lose their paths together, so the links would delay
    // them for longer than a restart takes.
    let query = PathQuery {
        crossing_ms: None,
        ..query(router, request, spec, now)
    };
    let data_centre_of = |endpoint: &EndpointId| {
        let endpoints = router.endpoints.lock();
        let record = endpoints.get(endpoint);
        record.map(|record| record.data_centre.clone())
    };
    let mut path = path.clone();
    for endpoint in lost {
        path = repair_path(
            spec,
            &offers,
            &path,
            endpoint,
            data_centre_of,
            &query,
            &mut rand::rng(),
        )?;
    }
    Ok(path)
}

fn offers(
    router: &Router,
    service: &ServiceName,
    spec: &PipelineSpec,
    now: Instant,
) -> Vec<StageOffer> {
    let endpoints = router.endpoints.lock();
    let load = router.load.lock();
    endpoints.offers(service, spec, &load, now)
}

fn query<'a>(
    router: &'a Router,
    request: &PathRequest<'a>,
    spec: &PipelineSpec,
    now: Instant,
) -> PathQuery<'a> {
    // Each guard ends with its statement; within the struct's expression they would overlap.
    let crossing_ms = available_crossing_ms(router, request.service, spec, now);
    let near_peers = router.members.lock().count_near(now);
    let hears_all = !router.is_large_fleet();
    PathQuery {
        size: request.size,
        home: &router.settings.data_centre,
        crossing_ms,
        first: request.first,
        near_peers,
        hears_all,
        departures: None,
        max_reading: request
            .first_event
            .filter(|_| router.uses(LoadControl::Reading))
            .map(|target| target.max_reading(now)),
        reserve: 0.0,
    }
}

fn charge_crossings(router: &Router, request: &PathRequest<'_>, path: &Path) {
    if path.crossings > 0 {
        let tokens = request.size.prompt + request.size.answer;
        let mut limiters = router.cross_centre_budget.lock();
        if let Some(limiter) = limiters.get_mut(request.service) {
            limiter.take(tokens * f64::from(path.crossings));
        }
    }
}

fn available_crossing_ms(
    router: &Router,
    service: &ServiceName,
    spec: &PipelineSpec,
    now: Instant,
) -> Option<f64> {
    let entries = router.live_entries(now);
    let mut limiters = router.cross_centre_budget.lock();
    let limiter = limiters.entry(service.clone());
    let limiter = limiter.or_insert_with(|| CrossingLimiter::new(now));
    limiter.refill(spec, entries, now);
    limiter.has_room().then(|| crossing_ms(spec))
}
