//! Gives endpoints their layers, as the holder of the placement lease.

mod lease;
mod orders;

use pistachioyard_policy::{CardState, PipelineSpec, loads_to_start, plan_moves};

use crate::prelude::*;
use crate::router::Router;
use lease::Lease;

/// How often the placement is looked at, unless an endpoint joins or is lost.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// The pause after a change, in which more that belong to it arrive.
const GATHER: Duration = Duration::from_millis(40);
/// The heartbeats in which endpoints that start together have all registered.
const GATHER_HEARTBEATS: f64 = 1.6;
/// The tokens of requests that each card keeps room for, in usual requests; what a
/// data centre carries while another one is lost.
const ROOM_REQUESTS: f64 = 110.0;

/// Plans and orders, round after round.
pub(super) async fn run(router: Arc<Router>) {
    let mut lease = Lease::default();
    loop {
        let pause = tokio::time::timeout(ROUND_PERIOD, router.endpoints_changed.notified());
        if pause.await.is_ok() {
            tokio::time::sleep(GATHER).await;
        }
        if router.lifecycle.is_draining() {
            continue;
        }
        round(&router, &mut lease).await;
    }
}

async fn round(router: &Arc<Router>, lease: &mut Lease) {
    let Some(in_force) = router.in_force() else {
        return;
    };
    // Who holds the lease keeps it, so that an entry that comes back changes nothing.
    if !lease.is_held() && !is_candidate(router, Instant::now()) {
        return;
    }
    let Some(fence) = lease.fence(router).await else {
        return;
    };
    let pipelines = in_force.table.pipelines();
    for (service, spec) in pipelines {
        let settle = router
            .settings
            .endpoint_heartbeat
            .mul_f64(GATHER_HEARTBEATS);
        if router
            .endpoints
            .lock()
            .is_gathering(service, settle, Instant::now())
        {
            continue;
        }
        let cards = router.endpoints.lock().cards(service, spec, Instant::now());
        let moves = plan(spec, &cards);
        // Loads that run before the first request are quick, and slow nobody.
        let moves = if router.has_traffic() {
            loads_to_start(spec, &cards, moves)
        } else {
            moves
        };
        if !moves.is_empty() {
            orders::give(router, spec, &moves, fence).await;
        }
    }
}

fn plan(spec: &PipelineSpec, cards: &[CardState]) -> Vec<pistachioyard_policy::LayerMove> {
    let usual = spec.mean_prompt_tokens + spec.mean_answer_tokens;
    plan_moves(spec, cards, usual * ROOM_REQUESTS)
}

/// Tells whether this entry is the one to hold the lease: the first of the live ones
/// that reach the store, or of all where none does.
///
/// Peers that disagree for a moment are kept apart by the lease.
pub(super) fn is_candidate(router: &Router, now: Instant) -> bool {
    let own = &router.settings.entry;
    let members = router.members.lock();
    let live: Vec<&EntryId> = members
        .live(now)
        .into_iter()
        .map(|record| &record.entry)
        .collect();
    let cut_off = router.cut_off_peers.lock();
    let is_own_cut_off = !router.store.is_reached();
    let is_cut_off = |entry: &EntryId| {
        if entry == own {
            is_own_cut_off
        } else {
            cut_off.contains(entry)
        }
    };
    let reaching = live.iter().filter(|entry| !is_cut_off(entry)).min();
    let first = reaching.or_else(|| live.iter().min());
    first.is_some_and(|first| *first == own)
}
