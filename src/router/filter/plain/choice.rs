//! Chooses where to send a request to a plain service.

use pistachioyard_policy::{EndpointRecord, choose_plain_endpoint};
use pistachioyard_wire::ServiceName;

use super::attempt::Target;
use crate::prelude::*;
use crate::router::Router;
use crate::router::admission::{Contender, Turn};
use crate::router::filter::Call;

/// How often a waiting request looks for a usable endpoint.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses a target that was not tried yet, and waits up to the latency target for one.
///
/// A request that has not run does not wait for endpoints that asked for a pause or whose limits
/// leave no room, nor for ones that are out of reach.
pub(super) async fn choose_target(
    router: &Router,
    call: &Call,
    service: &ServiceName,
    tried: &[EndpointId],
    has_run: bool,
) -> Option<Target> {
    let give_up_at = (call.arrived_at + call.route.latency_target).min(call.deadline);
    // A repeated attempt may fail for its own reasons, and its caller was promised an answer.
    let contender = router.contender(call, service);
    let contender = contender.filter(|_| tried.is_empty() && !has_run);
    let join = |contender: &Contender| {
        let applicant = contender.applicant(false, give_up_at);
        router.join_queue(service, applicant).ok()
    };
    let mut place = None;
    if let Some(contender) = &contender
        && router.must_wait(contender, service)
    {
        place = Some(join(contender)?);
    }
    loop {
        if let Some(place) = &mut place
            && matches!(place.wait_for_turn().await, Turn::Displaced | Turn::Late)
        {
            return None;
        }
        let now = Instant::now();
        let chosen = find_target(router, call, service, tried).await;
        let is_futile = || {
            let endpoints = router.endpoints.lock();
            let are_all_paused = endpoints.all_paused_for(service, tried, now).is_some();
            are_all_paused || router.is_out_of_reach(service)
        };
        if chosen.is_some() || now >= give_up_at || !has_run && is_futile() {
            if let (Some(contender), true) = (&contender, chosen.is_some()) {
                router.note_admitted(call, contender);
            }
            match (place, &chosen) {
                (Some(place), Some(_)) => place.admitted(),
                (Some(place), None) => place.refused(),
                (None, _) => {}
            }
            return chosen;
        }
        match (&place, &contender) {
            (Some(place), _) => {
                let recheck = tokio::time::sleep(RECHECK_INTERVAL);
                place.wait_for_room(recheck).await;
            }
            (None, Some(contender)) => place = Some(join(contender)?),
            (None, None) => tokio::time::sleep(RECHECK_INTERVAL).await,
        }
    }
}

/// Chooses an endpoint that was not tried yet, or a peer if this entry reaches none.
pub(super) async fn find_target(
    router: &Router,
    call: &Call,
    service: &ServiceName,
    tried: &[EndpointId],
) -> Option<Target> {
    if !router.is_out_of_reach(service)
        && let Some(found) = find_permitted(router, service, tried).await
    {
        return Some(Target::Endpoint(found));
    }
    if call.is_relayed {
        return None;
    }
    router.find_peer_hop(service, tried).map(Target::Peer)
}

/// Chooses an endpoint that was not tried yet, and takes a permit if it is limited.
async fn find_permitted(
    router: &Router,
    service: &ServiceName,
    tried: &[EndpointId],
) -> Option<EndpointRecord> {
    loop {
        let found = find_endpoint(router, service, tried, Instant::now())?;
        // An endpoint that grants no permit has no room for a while.
        if router.take_permit(&found.run()).await {
            return Some(found);
        }
    }
}

/// Chooses an endpoint that was not tried yet and may have room, without waiting.
pub(super) fn find_endpoint(
    router: &Router,
    service: &ServiceName,
    tried: &[EndpointId],
    now: Instant,
) -> Option<EndpointRecord> {
    let endpoints = router.endpoints.lock();
    let mut usable = endpoints.with_room(service, now);
    usable.retain(|record| !tried.contains(&record.endpoint));
    let latency = router.plain_latency.lock();
    let load = router.load.lock();
    let home = &router.settings.data_centre;
    choose_plain_endpoint(&usable, &latency, &load, home, now, &mut rand::rng()).cloned()
}
