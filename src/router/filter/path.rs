//! Finds a path for a generation, waiting a moment for memory where there is none.

use pistachioyard_policy::{
    NoPath, Path, PathQuery, PathStage, PipelineSpec, RequestSize, StageOffer, choose_path,
    choose_plain_endpoint, crossing_ms, repair_path,
};
use pistachioyard_wire::{LayerRange, ServiceName};

use super::{Call, no_capacity};
use crate::prelude::*;
use crate::router::Router;

/// The part of a stream's target that may go by in waiting for memory; the rest is
/// for reading the prompt and the first tokens.
const WAIT_SHARE: f64 = 0.5;
/// How often it is looked for a path while nothing announces that memory came free.
const LOOK_AGAIN: Duration = Duration::from_millis(25);
/// When a caller may come back after no endpoint that serves alone was usable, in ms;
/// about the time of a heartbeat.
const ALONE_RETRY_MS: f64 = 1_000.0;
/// How much a missing path may be made up for by spreading callers that come back.
const RETRY_SPREAD: f64 = 0.5;

/// What a path is wanted for.
pub(crate) struct Wanted<'a> {
    pub(crate) service: &'a ServiceName,
    /// The model that endpoints hold in parts; none if each of them serves alone.
    pub(crate) spec: Option<&'a PipelineSpec>,
    pub(crate) size: RequestSize,
    /// The endpoint that must come first, if any.
    pub(crate) first: Option<&'a EndpointId>,
}

/// A path and the age of the oldest entry that it was chosen by.
pub(crate) struct Found {
    pub(crate) path: Path,
    pub(crate) oldest_entry: Duration,
}

/// Chooses a path by what is known now.
pub(crate) fn find(router: &Router, wanted: &Wanted<'_>) -> Result<Found, NoPath> {
    let now = Instant::now();
    let path = match wanted.spec {
        Some(spec) => find_over_layers(router, wanted, spec, now)?,
        None => find_alone(router, wanted, now)?,
    };
    let endpoints = router.endpoints.lock();
    let ages = path
        .stages
        .iter()
        .filter_map(|s| endpoints.age(&s.endpoint, now));
    let oldest_entry = ages.max().unwrap_or_default();
    Ok(Found { path, oldest_entry })
}

/// Chooses an endpoint that serves alone, as a path of one stage.
fn find_alone(router: &Router, wanted: &Wanted<'_>, now: Instant) -> Result<Path, NoPath> {
    let endpoints = router.endpoints.lock();
    let mut usable = endpoints.usable(wanted.service, now);
    usable.retain(|record| wanted.first.is_none_or(|first| *first == record.endpoint));
    let pace = router.plain_latency.lock();
    let load = router.load.lock();
    let home = &router.settings.data_centre;
    let chosen = choose_plain_endpoint(&usable, &pace, &load, home, now, &mut rand::rng());
    let record = chosen.ok_or(NoPath::Gap { layer: 0 })?;
    Ok(Path {
        stages: vec![PathStage {
            endpoint: record.endpoint.clone(),
            address: record.address,
            layers: LayerRange::WHOLE,
        }],
        crossings: 0,
        cost_ms: pace.expected_ms(&record.endpoint, now),
    })
}

fn find_over_layers(
    router: &Router,
    wanted: &Wanted<'_>,
    spec: &PipelineSpec,
    now: Instant,
) -> Result<Path, NoPath> {
    let offers = offers(router, wanted.service, spec, now);
    let query = query(router, wanted, spec, now);
    let path = choose_path(spec, &offers, &query, &mut rand::rng())?;
    take_crossings(router, wanted, &path);
    Ok(path)
}

/// Finds who can take over the layers of lost endpoints on a path that is in use.
pub(crate) fn mend(
    router: &Router,
    wanted: &Wanted<'_>,
    spec: &PipelineSpec,
    path: &Path,
    lost: &[EndpointId],
) -> Result<Path, NoPath> {
    let now = Instant::now();
    let mut offers = offers(router, wanted.service, spec, now);
    offers.retain(|offer| !lost.contains(&offer.endpoint));
    // The whole prompt would cross at once, and many streams lose their path together:
    // the pipes would hold all of them up for longer than to begin again takes.
    let query = PathQuery {
        crossing_ms: None,
        ..query(router, wanted, spec, now)
    };
    let place = |endpoint: &EndpointId| {
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
            place,
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
    wanted: &Wanted<'a>,
    spec: &PipelineSpec,
    now: Instant,
) -> PathQuery<'a> {
    PathQuery {
        size: wanted.size,
        home: &router.settings.data_centre,
        crossing_ms: crossing(router, spec, now),
        first: wanted.first,
    }
}

fn take_crossings(router: &Router, wanted: &Wanted<'_>, path: &Path) {
    if path.crossings > 0 {
        let tokens = wanted.size.prompt + wanted.size.answer;
        router
            .cross_centre_budget
            .lock()
            .take(tokens * f64::from(path.crossings));
    }
}

fn crossing(router: &Router, spec: &PipelineSpec, now: Instant) -> Option<f64> {
    let entries = router.live_entries(now);
    let mut meter = router.cross_centre_budget.lock();
    meter.refill(spec, entries, now);
    meter.has_room().then(|| crossing_ms(spec))
}

/// Finds a path for a new request; one that can't be found soon is refused at once.
pub(crate) async fn admit(
    router: &Router,
    call: &Call,
    wanted: &Wanted<'_>,
) -> Result<Found, Problem> {
    let wait_until = call.arrived_at + call.route.latency_target.mul_f64(WAIT_SHARE);
    let give_up_at = wait_until.min(call.end_at);
    loop {
        match find(router, wanted) {
            Ok(found) => return Ok(found),
            Err(no_path) if Instant::now() >= give_up_at => {
                return Err(refuse(wanted.spec, no_path));
            }
            Err(_) => wait_for_room(router).await,
        }
    }
}

/// Waits until memory came free somewhere, or for a moment.
pub(crate) async fn wait_for_room(router: &Router) {
    // Either way it is looked again, so which of the two ended the wait is no matter.
    let _ = tokio::time::timeout(LOOK_AGAIN, router.capacity_changed.notified()).await;
}

fn refuse(spec: Option<&PipelineSpec>, no_path: NoPath) -> Problem {
    let usual_ms = spec.map_or(ALONE_RETRY_MS, |spec| usual_wait_ms(spec, no_path));
    let spread = 1.0 + RETRY_SPREAD * rand::random::<f64>();
    no_capacity(
        format!("{no_path}; nothing was run"),
        (usual_ms * spread) as u64,
    )
}

/// Estimates when there will be a path, in ms.
fn usual_wait_ms(spec: &PipelineSpec, no_path: NoPath) -> f64 {
    match no_path {
        // Another card takes the missing layers over, which takes as long as a load.
        NoPath::Gap { .. } | NoPath::NoCrossing => {
            let cards = spec.cards.values().map(|card| spec.max_layers(card));
            let mean = cards.sum::<u32>() as f64 / spec.cards.len().max(1) as f64;
            spec.load_ms * mean / f64::from(spec.layers)
        }
        // Requests end all the time; places come free within one answer's time.
        NoPath::NoRoom { .. } | NoPath::NotReplaceable | NoPath::TooComplex => {
            spec.mean_answer_tokens * spec.step_ms * 4.0
        }
    }
}
