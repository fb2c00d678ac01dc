//! Assigns layers to endpoints while this entry holds the placement lease.

mod lease;
mod orders;

use pistachioyard_policy::{CardState, PipelineSpec, loads_to_start, plan_moves};

use crate::prelude::*;
use crate::router::Router;
use lease::Lease;

/// How often the placement is checked while no endpoint changes.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// The pause after a change, so that related changes are handled together.
const DEBOUNCE: Duration = Duration::from_millis(40);
/// The number of heartbeats within which endpoints that start together have all registered.
const SETTLE_HEARTBEATS: f64 = 1.6;
/// The number of average requests for whose tokens each card reserves memory; covers the
/// load of a data centre while another one is lost.
const HEADROOM_REQUESTS: f64 = 110.0;

/// Plans the placement and sends the orders, in rounds.
pub(super) async fn run(router: Arc<Router>) {
    let mut lease = Lease::default();
    loop {
        let pause = tokio::time::timeout(ROUND_PERIOD, router.endpoints_changed.notified());
        if pause.await.is_ok() {
            tokio::time::sleep(DEBOUNCE).await;
        }
        if router.lifecycle.is_draining() {
            continue;
        }
        run_round(&router, &mut lease).await;
    }
}

async fn run_round(router: &Arc<Router>, lease: &mut Lease) {
    let Some(active) = router.active_config() else {
        return;
    };
    let mut pipelines: Vec<_> = active.table.pipelines().collect();
    if router.count_out_of_reach() > 0 {
        // What this entry takes for lost may only be out of its reach, so one that reaches all
        // decides.
        pipelines.retain(|(service, _)| !router.is_out_of_reach(service));
        if pipelines.is_empty() || !is_candidate(router, Instant::now()) {
            return;
        }
    }
    // The holder keeps the lease, so that a returning entry does not force a handover.
    if !lease.is_held(router) && !is_candidate(router, Instant::now()) {
        return;
    }
    let Some(fence) = lease.fence(router).await else {
        return;
    };
    let mut any_fenced = None;
    for (service, spec) in pipelines {
        let settle_time = router
            .settings
            .endpoint_heartbeat
            .mul_f64(SETTLE_HEARTBEATS);
        if router
            .endpoints
            .lock()
            .is_starting_up(service, settle_time, Instant::now())
        {
            continue;
        }
        let cards = router.endpoints.lock().cards(service, spec, Instant::now());
        let moves = plan(spec, &cards);
        // Before the first request, loads are quick and cannot delay traffic, so all run at once.
        let moves = if router.has_traffic() {
            loads_to_start(spec, &cards, moves)
        } else {
            moves
        };
        if !moves.is_empty() {
            let refused = orders::send_all(router, spec, &moves, fence).await;
            any_fenced = Some(refused || any_fenced == Some(true));
        }
    }
    match any_fenced {
        Some(true) => lease.raise_above(router, fence),
        Some(false) => lease.note_accepted(),
        None => {}
    }
}

fn plan(spec: &PipelineSpec, cards: &[CardState]) -> Vec<pistachioyard_policy::LayerMove> {
    let mean_tokens = spec.mean_prompt_tokens + spec.mean_answer_tokens;
    plan_moves(spec, cards, mean_tokens * HEADROOM_REQUESTS)
}

/// Returns whether this entry should hold the lease: it is the first of the live entries
/// that can reach the store and the endpoints and have no task that keeps ending, or the first of
/// all live entries if none can.
///
/// Entries may briefly disagree on this; the lease admits only one of them.
pub(crate) fn is_candidate(router: &Router, now: Instant) -> bool {
    let own = &router.settings.entry;
    let out_of_reach = router.peers_out_of_reach();
    let members = router.members.lock();
    let live: Vec<&EntryId> = members
        .live(now)
        .into_iter()
        .map(|record| &record.entry)
        .collect();
    let without_store = router.peers_without_store.lock();
    let failing = router.failing_peers.lock();
    let is_own_hindered = !router.store.is_reachable()
        || router.count_out_of_reach() > 0
        || router.tasks.has_failing_task();
    let is_hindered = |entry: &EntryId| {
        if entry == own {
            is_own_hindered
        } else {
            without_store.contains(entry) || out_of_reach.contains(entry) || failing.contains(entry)
        }
    };
    let reaching = live.iter().filter(|entry| !is_hindered(entry)).min();
    let first = reaching.or_else(|| live.iter().min());
    first.is_some_and(|first| *first == own)
}
