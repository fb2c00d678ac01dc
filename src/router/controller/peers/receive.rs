//! Applies what peers tell.

use std::net::SocketAddr;

use pistachioyard_policy::{
    ContentionReport, Demand, EndpointRun, GossipReport, GossipScope, LoadShare, ReadingShare,
    RequestRate, ReturnNews, StorePosition, WorkspaceLoad,
};
use pistachioyard_wire::MemberRecord;

use super::datagram::next_datagram;
use super::messages::{Gossip, LimitNotice};
use crate::prelude::*;
use crate::router::controller::watch_pace;
use crate::router::permits::PermitMessage;
use crate::router::{Router, metric};

/// The most requests that a peer has in progress at one endpoint; sums over all peers of a fleet
/// stay far from overflowing.
const MAX_TOLD_REQUESTS: u32 = 1 << 20;
/// The most prompt tokens times layers that a peer has begun to read at one endpoint; likewise.
const MAX_TOLD_READING: u64 = 1 << 48;
/// How long a datagram may be on its way.
const TRANSIT_TIME: Duration = Duration::from_millis(20);

/// Applies one datagram.
pub(super) fn receive(router: &Router, datagram: &[u8], from: SocketAddr) {
    if PermitMessage::is_one(datagram) {
        match ciborium::from_reader(datagram) {
            Ok(message) => router.receive_permit_message(message, from),
            Err(e) => log_malformed(router, from, &e.to_string()),
        }
        return;
    }
    let gossip: Gossip = match ciborium::from_reader(datagram) {
        Ok(gossip) => gossip,
        Err(e) => {
            log_malformed(router, from, &e.to_string());
            return;
        }
    };
    let now = Instant::now();
    let fresh = merge_members(router, &gossip, now);
    let Some(sender) = gossip.members.first() else {
        return;
    };
    if fresh.contains(&sender.entry) {
        // It knows nothing yet of limits, leaving endpoints and quarantined requests.
        let scope = match sender.data_centre == router.settings.data_centre {
            true => GossipScope::SameCentre,
            false => GossipScope::OtherCentre,
        };
        if let Some(datagram) = next_datagram(router, scope) {
            router.permits.send(sender.peer_address, &datagram);
        }
    }
    if sender.revision.0 > router.version() {
        router.config_outdated.notify_one();
    }
    confirm_copies(router, &gossip, sender, now);
    {
        let mut failing = router.failing_peers.lock();
        match gossip.is_failing {
            true => failing.insert(sender.entry.clone()),
            false => failing.remove(&sender.entry),
        };
    }
    {
        let mut without_store = router.peers_without_store.lock();
        if gossip.reaches_store {
            without_store.remove(&sender.entry);
        } else {
            without_store.insert(sender.entry.clone());
        }
    }
    {
        let told = gossip.reach.iter();
        let told = told.map(|(key, silent, is_lost)| (*key, (*silent, *is_lost)));
        let mut reach = router.peer_reach.lock();
        reach.insert(sender.entry.clone(), told.collect());
    }
    let seen = StorePosition {
        era: gossip.endpoints_era,
        revision: gossip.endpoints_revision,
    };
    let max_lag = watch_pace::role(router).max_lag(router.settings.drain_limit);
    let (is_overtaken, own) = {
        let mut lag = router.endpoints_lag.lock();
        (lag.check(seen, now, max_lag), lag.newest())
    };
    if is_overtaken {
        metric::count_overtaken_watch();
        spdlog::warn!("endpoints: a peer has seen a newer change, listing all records again", kv: {
            from = sender.entry.as_str(), revision = seen.revision, own_revision = own.revision
        });
        router.endpoints_outdated.notify_one();
    }
    router.note_departures(sender, &gossip.departures, now);
    router.note_fence(gossip.newest_fence);
    router.merge_quarantine(&gossip.quarantine, sender.entry.as_str(), now);
    router.merge_parts(&gossip.parts, sender.entry.as_str(), now);
    {
        let told: Vec<(u32, ReturnNews)> = gossip.returns.into_iter().map(Into::into).collect();
        let shares_room = sender.data_centre == router.settings.data_centre;
        router.apply_return_news(&sender.entry, &told, shares_room, now);
    }
    let mut endpoints = router.endpoints.lock();
    let by_key = router.short_keys.lock().get(&endpoints, now);
    let load = gossip.load.map(|load| {
        let known = load.iter().filter_map(|(key, requests, token_layers)| {
            let endpoint = by_key.get(key)?.clone();
            let requests = (*requests).min(MAX_TOLD_REQUESTS);
            token_layers
                .is_finite()
                .then(|| (endpoint, (requests, f64::from(*token_layers))))
        });
        known.collect::<LoadShare>()
    });
    let reading = gossip.reading.iter();
    let reading: ReadingShare = reading
        .filter_map(|(key, tokens)| {
            let endpoint = by_key.get(key)?.clone();
            Some((endpoint, (*tokens).min(MAX_TOLD_READING)))
        })
        .collect();
    for heard in &gossip.heard {
        let Some(endpoint) = by_key.get(&heard.key) else {
            continue;
        };
        let Some(heard_at) = now.checked_sub(heard.age_ms.duration()) else {
            continue;
        };
        let is_new = endpoints.apply_gossip(&GossipReport {
            endpoint: endpoint.clone(),
            layers: heard.layers,
            is_moving: heard.is_moving,
            orders_begun: heard.orders_begun,
            started_unix_ms: heard.started_unix_ms,
            slowdown: f64::from(heard.slowdown),
            heard_at,
        });
        if is_new {
            let layers = heard.layers.map(|l| l.to_string()).unwrap_or_default();
            spdlog::info!("endpoints: updated by a peer's report", kv: {
                endpoint = endpoint.as_str(), from = sender.entry.as_str(),
                layers = layers.as_str(), is_moving = heard.is_moving,
                slowdown = heard.slowdown, age_ms = heard.age_ms.ms()
            });
            router.capacity_changed.notify_waiters();
        }
    }
    if load.is_some() {
        note_contention(router, &gossip.demand, &gossip.workspaces, sender, now);
    }
    if let Some(load) = load {
        let mut loads = router.load.lock();
        match sender.data_centre == router.settings.data_centre {
            true => {
                loads.set_peer(sender.entry.clone(), load);
                loads.reading_mut().set_peer(sender.entry.clone(), reading);
            }
            false => {
                loads.set_centre(sender.data_centre.clone(), load, now);
                let centre = sender.data_centre.clone();
                loads.reading_mut().set_centre(centre, reading, now);
            }
        }
    }
    drop(endpoints);
    for notice in gossip.limits {
        if let Some(endpoint) = by_key.get(&notice.key) {
            receive_limit(router, endpoint, &notice, &sender.entry, now);
        }
    }
    for (key, started_unix_ms, age) in gossip.dead {
        if let Some(endpoint) = by_key.get(&key).cloned() {
            let run = EndpointRun {
                endpoint,
                started_unix_ms,
            };
            router.note_dead(&run, age.duration(), sender.entry.as_str());
        }
    }
    for (key, started_unix_ms) in gossip.leaving {
        if let Some(endpoint) = by_key.get(&key).cloned() {
            let run = EndpointRun {
                endpoint,
                started_unix_ms,
            };
            router.note_leaving(&run, sender.entry.as_str());
        }
    }
    if !gossip.load_only {
        router.first_news.send_replace(true);
    }
}

/// Confirms the copies of the store's objects that are the same as the sender's.
fn confirm_copies(router: &Router, gossip: &Gossip, sender: &MemberRecord, now: Instant) {
    if let Some((digest, age)) = gossip.endpoints_fresh
        && digest == router.endpoints.lock().digest()
    {
        let mut freshness = router.endpoints_freshness.lock();
        freshness.confirm_by_peer(age.duration() + TRANSIT_TIME, now);
    }
    if let Some(age) = gossip.config_age_ms
        && sender.revision.0 == router.version()
    {
        let mut freshness = router.config_freshness.lock();
        freshness.confirm_by_peer(age.duration() + TRANSIT_TIME, now);
    }
}

/// Applies what the sender tells of the demand for services.
fn note_contention(
    router: &Router,
    demand: &[(u32, u8, f32, f32)],
    workspaces: &[(u32, u32, f32, f32, f32)],
    sender: &MemberRecord,
    now: Instant,
) {
    let told = |per_second: f32, squares: f32| Demand {
        per_second: f64::from(per_second),
        squares_per_second: f64::from(squares),
    };
    let demand = demand.iter();
    let workspaces = workspaces.iter();
    let report = ContentionReport {
        by_urgency: demand
            .map(|(service, urgency, rate, squares)| ((*service, *urgency), told(*rate, *squares)))
            .collect(),
        by_workspace: workspaces
            .map(|(service, workspace, in_progress, rate, squares)| {
                let load = WorkspaceLoad {
                    in_progress: f64::from(*in_progress),
                    demand: told(*rate, *squares),
                };
                ((*service, *workspace), load)
            })
            .collect(),
    };
    let admission = &router.admission;
    match sender.data_centre == router.settings.data_centre {
        true => admission.set_peer(sender.entry.clone(), report, now),
        false => admission.set_centre(sender.data_centre.clone(), report, now),
    }
}

/// Merges the members that a datagram names; returns those that joined or were restarted.
fn merge_members(router: &Router, gossip: &Gossip, now: Instant) -> Vec<EntryId> {
    let fresh: Vec<MemberRecord> = {
        let mut members = router.members.lock();
        members.merge_heartbeats(&gossip.heartbeats, now);
        let sender = gossip.members.first();
        let is_fresh = sender.is_some_and(|sender| members.merge_sender(sender, now));
        let mut fresh = members.merge(&gossip.members, now);
        fresh.extend(sender.filter(|_| is_fresh).map(|s| s.entry.clone()));
        let named = gossip.members.iter();
        named
            .filter(|r| fresh.contains(&r.entry))
            .cloned()
            .collect()
    };
    for record in &fresh {
        // Entries elsewhere are as many as the fleet is large, and their own logs tell of it.
        if record.data_centre == router.settings.data_centre || !router.is_large_fleet() {
            let entry = record.entry.as_str();
            spdlog::info!("peers: entry joined or restarted", kv: { entry });
        }
    }
    fresh.into_iter().map(|record| record.entry).collect()
}

fn receive_limit(
    router: &Router,
    endpoint: &EndpointId,
    notice: &LimitNotice,
    from: &EntryId,
    now: Instant,
) {
    let run = EndpointRun {
        endpoint: endpoint.clone(),
        started_unix_ms: notice.started_unix_ms,
    };
    let Some(said_at) = now.checked_sub(notice.age_ms.duration()) else {
        return;
    };
    match notice.per_second.map(RequestRate::try_from).transpose() {
        Ok(rate) => router.note_limit(&run, rate, said_at, from.as_str()),
        Err(e) if router.other_lines.allows() => {
            spdlog::warn!("peers: ignoring an invalid limit", kv: {
                endpoint = endpoint.as_str(), from = from.as_str(), why = e.to_string().as_str()
            });
        }
        Err(_) => {}
    }
}

fn log_malformed(router: &Router, from: SocketAddr, why: &str) {
    if router.other_lines.allows() {
        spdlog::warn!("peers: malformed datagram", kv: { from = from.to_string().as_str(), why });
    }
}
