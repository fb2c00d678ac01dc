//! Admits streams: those that find no path wait briefly, in order, and are refused if there is none
//! in time.

use pistachioyard_policy::{NoPath, PipelineSpec};

use super::path::{FoundPath, PathRequest, find_path_or_peer};
use super::{Call, no_capacity};
use crate::prelude::*;
use crate::router::Router;
use crate::router::admission::{Contender, Place, Turn};

/// The share of a stream's latency target that it may wait for memory; the rest is for the
/// prefill and the first tokens.
const MAX_WAIT_SHARE: f64 = 0.5;
/// The same for a caller that was refused and has returned as told.
const MAX_RETURN_WAIT_SHARE: f64 = 1.0;
/// How often a waiting request looks for a path if no notification of free memory arrives.
const RECHECK_INTERVAL: Duration = Duration::from_millis(25);
/// The retry delay for callers while a plain service has no usable endpoint, in ms; about one
/// heartbeat period.
const PLAIN_RETRY_MS: f64 = 1_000.0;
/// The retry delay for callers if an endpoint has got room while the request was refused, in ms.
const LIMIT_RETRY_MS: u64 = 100;
/// The largest share by which a retry delay is raised at random, so that refused callers do
/// not all return at once.
const RETRY_JITTER: f64 = 0.5;
/// The multiple of the mean size above which a request may fail to find room where others do.
const LARGE_FACTOR: f64 = 2.0;

/// Finds a path for a new request, with a permit for its first endpoint, and refuses the request
/// if there is none soon; at once if all endpoints asked for a pause or their limits leave no
/// room, or more urgent requests take what room there will be in time.
pub(crate) async fn admit(
    router: &Router,
    call: &Call,
    request: &PathRequest<'_>,
) -> Result<FoundPath, Problem> {
    let wait_share = match router.is_expected(request.service, call.digest) {
        true => MAX_RETURN_WAIT_SHARE,
        false => MAX_WAIT_SHARE,
    };
    let wait_until = call.arrived_at + call.route.latency_target.mul_f64(wait_share);
    let give_up_at = wait_until.min(call.deadline);
    let contender = router.contender(call, request.service);
    let contender = contender.filter(|_| request.may_be_refused());
    let mut place = None;
    if let Some(contender) = &contender
        && router.must_wait(contender, request.service)
    {
        place = Some(join_queue(router, call, contender, request, give_up_at)?);
    }
    loop {
        let turn = match &mut place {
            Some(place) => place.wait_for_turn().await,
            None => Turn::Look,
        };
        let request = match turn {
            Turn::Look => PathRequest {
                contender,
                ..*request
            },
            Turn::LookFirst => *request,
            Turn::Displaced | Turn::Late => {
                return Err(refusal(router, call, request, NoPath::NoRoom { layer: 0 }));
            }
        };
        let is_placed = match find_path_or_peer(router, call, &request) {
            Ok(found) if found.peer.is_some() => Ok(found),
            Ok(found) if router.take_permit(&found.first_run).await => Ok(found),
            // The endpoint has no room, so another one is chosen.
            Ok(_) if call.time_left().is_some() => continue,
            Ok(_) => Err(NoPath::NoStart { layer: 0 }),
            Err(no_path) => Err(no_path),
        };
        match is_placed {
            Ok(found) => {
                if let Some(contender) = &contender {
                    router.note_admitted(call, contender);
                }
                if found.peer.is_none() {
                    router.note_room_given(call, request.service);
                }
                if let Some(place) = place {
                    place.admitted();
                }
                return Ok(found);
            }
            Err(no_path) => {
                if let Some(problem) = refuse_at_once(router, call, &request, no_path, give_up_at) {
                    if let Some(place) = place {
                        place.refused();
                    }
                    return Err(problem);
                }
            }
        }
        match (&place, &contender) {
            (Some(place), _) => place.wait_for_room(wait_for_capacity(router)).await,
            (None, Some(contender)) => {
                place = Some(join_queue(router, call, contender, &request, give_up_at)?);
            }
            (None, None) => wait_for_capacity(router).await,
        }
    }
}

/// Returns the refusal of a request that need not or cannot wait any longer.
fn refuse_at_once(
    router: &Router,
    call: &Call,
    request: &PathRequest<'_>,
    no_path: NoPath,
    give_up_at: Instant,
) -> Option<Problem> {
    match no_path {
        NoPath::NoStart { .. } => {
            let retry_after_ms = router.book_return_ms(request.service);
            let detail = "the limits of the endpoints leave no room; the request was not run";
            Some(no_capacity(
                detail,
                retry_after_ms.unwrap_or(LIMIT_RETRY_MS),
            ))
        }
        NoPath::OutOfReach => Some(refusal(router, call, request, no_path)),
        _ if Instant::now() >= give_up_at => Some(refusal(router, call, request, no_path)),
        _ => {
            let retry_after_ms = router.pause_left_ms(request.service)?;
            let detail = "all endpoints asked for a pause; the request was not run";
            Some(no_capacity(detail, retry_after_ms))
        }
    }
}

/// Joins the queue of those who wait for room.
fn join_queue(
    router: &Router,
    call: &Call,
    contender: &Contender,
    request: &PathRequest<'_>,
    give_up_at: Instant,
) -> Result<Place, Problem> {
    let mean = request.spec.map(|spec| spec.mean_size().resident_tokens());
    let is_large = mean.is_some_and(|mean| request.size.resident_tokens() > LARGE_FACTOR * mean);
    let is_particular = is_large || request.first.is_some() || !request.without.is_empty();
    let applicant = contender.applicant(is_particular, give_up_at);
    let joined = router.join_queue(request.service, applicant);
    joined.map_err(|why| Problem {
        detail: format!("{why}; the request was not run"),
        ..refusal(router, call, request, NoPath::NoRoom { layer: 0 })
    })
}

/// Waits until an endpoint has freed memory, but at most for the recheck interval.
pub(crate) async fn wait_for_capacity(router: &Router) {
    // A timeout and a notification both lead to the next attempt.
    let _ = tokio::time::timeout(RECHECK_INTERVAL, router.capacity_changed.notified()).await;
}

fn refusal(router: &Router, call: &Call, request: &PathRequest<'_>, no_path: NoPath) -> Problem {
    let estimate = |spec| estimated_wait_ms(spec, no_path);
    let wait_ms = request.spec.map_or(PLAIN_RETRY_MS, estimate);
    let booked_ms = router.book_return(call, request.service, wait_ms as u64);
    let jitter = 1.0 + RETRY_JITTER * rand::random::<f64>();
    no_capacity(
        format!("{no_path}; the request was not run"),
        booked_ms.unwrap_or((wait_ms * jitter) as u64),
    )
}

/// Estimates how long it takes until there is a path, in ms.
fn estimated_wait_ms(spec: &PipelineSpec, no_path: NoPath) -> f64 {
    match no_path {
        NoPath::OutOfReach => PLAIN_RETRY_MS,
        // Another card has to load the missing layers.
        NoPath::Gap { .. } | NoPath::NoCrossing => {
            let cards = spec.cards.values().map(|card| spec.max_layers(card));
            let mean = cards.sum::<u32>() as f64 / spec.cards.len().max(1) as f64;
            spec.load_ms * mean / f64::from(spec.layers)
        }
        // Requests end continuously, so memory is freed within the time of one answer.
        NoPath::NoRoom { .. }
        | NoPath::NoStart { .. }
        | NoPath::NotReplaceable
        | NoPath::TooComplex => spec.mean_answer_tokens * spec.step_ms * 4.0,
    }
}
