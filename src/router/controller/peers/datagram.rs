//! Encodes what this entry tells its peers.

use pistachioyard_policy::{GossipScope, Heartbeat, RequestRate};
use pistachioyard_wire::{EntryState, MemberRecord, PartReport};
use rand::seq::IteratorRandom;

use super::messages::{Gossip, LayerReport, LimitNotice};
use super::short_keys::short_key;
use crate::prelude::*;
use crate::router::Router;
use crate::router::told_age::ToldAge;

/// How long an entry must have run before it tells other data centres the load of its own; it has
/// heard its peers there by then.
const CENTRE_LOAD_AFTER: Duration = Duration::from_millis(1_500);
/// The number of other entries' records that are relayed in one datagram.
const RELAYED_RECORDS: usize = 2;
/// The maximum number of layer reports and of leaving runs in one datagram, which keeps it small.
const MAX_ITEMS_PER_LIST: usize = 16;
/// The maximum number of quarantine marks in one datagram; the crash of an endpoint makes a mark for
/// each request that ran there.
const MAX_QUARANTINE_MARKS: usize = 32;
/// The maximum number of endpoints in one datagram whose prompts are told.
const MAX_READING_ITEMS: usize = 128;
/// How long an endpoint's layer report is relayed; several gossip periods, since datagrams
/// may be lost.
const LAYER_REPORT_MAX_AGE: Duration = Duration::from_secs(3);

/// Encodes this entry's state, with the records and heartbeats of others.
pub(super) fn next_datagram(router: &Router, scope: GossipScope) -> Option<Vec<u8>> {
    let now = Instant::now();
    let (records, heartbeats) = {
        let mut members = router.members.lock();
        members.set_own_state(own_state(router), Revision(router.version()));
        members.advance_heartbeat(now);
        let mut records = vec![members.own_record().clone()];
        let rng = &mut rand::rng();
        if scope != GossipScope::SameCentreLoad {
            records.extend(members.relayed_records(RELAYED_RECORDS, now, rng));
        }
        (records, members.heartbeats(scope, now, rng))
    };
    encode(router, scope, records, heartbeats, now)
}

fn own_state(router: &Router) -> EntryState {
    if router.lifecycle.is_draining() {
        EntryState::Draining
    } else {
        EntryState::Live
    }
}

fn encode(
    router: &Router,
    scope: GossipScope,
    members: Vec<MemberRecord>,
    heartbeats: Vec<Heartbeat>,
    now: Instant,
) -> Option<Vec<u8>> {
    let load_only = scope == GossipScope::SameCentreLoad;
    let max_items = if load_only { 0 } else { MAX_ITEMS_PER_LIST };
    let reach = router.reach_to_tell();
    let returns = router.returns_to_tell(now);
    let mut endpoints = router.endpoints.lock();
    let digest = endpoints.digest();
    let heard = endpoints
        .reported_within(LAYER_REPORT_MAX_AGE, now)
        .into_iter()
        .take(max_items);
    let heard = heard
        .map(|(record, age)| LayerReport {
            key: short_key(&record.endpoint),
            layers: record.state.layers,
            is_moving: record.state.is_moving,
            orders_begun: record.state.orders_begun,
            started_unix_ms: record.state.started_unix_ms,
            slowdown: record.state.slowdown as f32,
            age_ms: ToldAge::of(age),
        })
        .collect();
    let leaving = endpoints
        .leaving_runs()
        .map(|run| (short_key(&run.endpoint), run.started_unix_ms))
        .choose_multiple(&mut rand::rng(), max_items);
    let dead = endpoints
        .dead_runs(now)
        .map(|(run, age)| {
            let age = ToldAge::rounded_up(age);
            (short_key(&run.endpoint), run.started_unix_ms, age)
        })
        .choose_multiple(&mut rand::rng(), MAX_ITEMS_PER_LIST);
    let limits = endpoints.limits().told(now);
    let limits = limits.map(|(run, rate, said_at)| LimitNotice {
        key: short_key(&run.endpoint),
        started_unix_ms: run.started_unix_ms,
        per_second: rate.map(RequestRate::per_second),
        age_ms: ToldAge::rounded_up(now.saturating_duration_since(said_at)),
    });
    let limits = limits.choose_multiple(&mut rand::rng(), max_items);
    let endpoints_age = router.endpoints_freshness.lock().age(now);
    let endpoints_fresh = Some((digest, ToldAge::rounded_up(endpoints_age)));
    drop(endpoints);
    let load = load_to_tell(router, scope);
    let reading = reading_to_tell(router, scope);
    let max_marks = if load_only { 0 } else { MAX_QUARANTINE_MARKS };
    let quarantine = router.quarantine.lock().marks_to_tell(max_marks, now);
    let parts = match load_only {
        true => PartReport::default(),
        false => router.parts.lock().report(now),
    };
    let (demand, workspaces) = contention_to_tell(router, scope, now);
    let seen = router.endpoints_lag.lock().newest();
    let gossip = Gossip {
        members,
        heartbeats,
        reaches_store: router.store.is_reachable(),
        endpoints_revision: seen.revision,
        endpoints_era: seen.era,
        endpoints_fresh,
        config_age_ms: Some(ToldAge::rounded_up(router.config_freshness.lock().age(now))),
        newest_fence: router.newest_fence(),
        load,
        departures: router.departures_to_tell(scope),
        reading,
        demand,
        workspaces,
        heard,
        leaving,
        dead,
        limits,
        reach,
        returns: returns.into_iter().map(Into::into).collect(),
        quarantine,
        parts,
        is_failing: router.tasks.has_failing_task(),
        load_only,
    };
    let mut datagram = Vec::new();
    match ciborium::into_writer(&gossip, &mut datagram) {
        Ok(()) => Some(datagram),
        Err(e) => {
            spdlog::error!("peers: cannot encode a datagram", kv: { why = e.to_string().as_str() });
            None
        }
    }
}

/// Returns the load to send in a scope; none if it is not known yet.
fn load_to_tell(router: &Router, scope: GossipScope) -> Option<Vec<(u32, u32, f32)>> {
    let encode = |(endpoint, requests, token_layers): (&EndpointId, u32, f64)| {
        (short_key(endpoint), requests, token_layers as f32)
    };
    let load = router.load.lock();
    match scope {
        GossipScope::SameCentre | GossipScope::SameCentreLoad => {
            Some(load.own().map(encode).collect())
        }
        GossipScope::OtherCentre => (router.started_at.elapsed() >= CENTRE_LOAD_AFTER)
            .then(|| load.centre().map(encode).collect()),
    }
}

/// Returns the prompts that are being read, to send in a scope.
fn reading_to_tell(router: &Router, scope: GossipScope) -> Vec<(u32, u64)> {
    let load = router.load.lock();
    let mut reading: Vec<(&EndpointId, u64)> = match scope {
        GossipScope::SameCentre | GossipScope::SameCentreLoad => load.reading().own().collect(),
        GossipScope::OtherCentre => load.reading().centre().collect(),
    };
    reading.sort_unstable_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    let most = reading.into_iter().take(MAX_READING_ITEMS);
    most.map(|(endpoint, tokens)| (short_key(endpoint), tokens))
        .collect()
}

type ToldDemand = Vec<(u32, u8, f32, f32)>;
type ToldWorkspaces = Vec<(u32, u32, f32, f32, f32)>;

/// Returns the demand to send in a scope, and the largest workspaces; none if the data centre's is
/// not known yet.
fn contention_to_tell(
    router: &Router,
    scope: GossipScope,
    now: Instant,
) -> (ToldDemand, ToldWorkspaces) {
    let is_known =
        scope != GossipScope::OtherCentre || router.started_at.elapsed() >= CENTRE_LOAD_AFTER;
    if !is_known {
        return (Vec::new(), Vec::new());
    }
    let report = router.admission.report(scope, now);
    let demand = report
        .by_urgency
        .into_iter()
        .map(|((service, urgency), d)| {
            let (rate, squares) = (d.per_second as f32, d.squares_per_second as f32);
            (service, urgency, rate, squares)
        });
    let workspaces = report.by_workspace.into_iter();
    let workspaces = workspaces.map(|((service, workspace), load)| {
        let d = load.demand;
        let (rate, squares) = (d.per_second as f32, d.squares_per_second as f32);
        (service, workspace, load.in_progress as f32, rate, squares)
    });
    (demand.collect(), workspaces.collect())
}
