//! Discovers the other entries and exchanges state with them by gossip.
//!
//! Entries register in the store to be discovered, and then gossip over UDP, which has no
//! connections that could die unnoticed. Gossip is not needed for correctness, and all
//! state received by it expires. What an entry sends and receives is bounded for fleets of any
//! size (`docs/design/membership.md`).

mod messages;
mod registry;
mod short_keys;

use std::net::SocketAddr;

use messages::{Gossip, LayerReport, LimitNotice};
use pistachioyard_policy::{
    EndpointRun, GossipReport, GossipScope, Heartbeat, LoadShare, RequestRate, StorePosition,
};
use pistachioyard_wire::{EntryState, MemberRecord, PartReport};
use rand::seq::IteratorRandom;
pub(super) use registry::register;
pub(crate) use short_keys::ShortKeys;
use short_keys::short_key;
use tokio::net::UdpSocket;

use super::{jittered, watch_pace};
use crate::prelude::*;
use crate::router::log::ms;
use crate::router::permits::PermitMessage;
use crate::router::{Router, metric};

/// How often an entry sends its state to peers.
const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
/// The minimum time between two rounds if something urgent is to be told.
const URGENT_PAUSE: Duration = Duration::from_millis(20);
/// How long after the last period the next one ends in a process that was not paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(750);
/// How long an entry must have run before it tells other data centres the load of its own; it has
/// heard its peers there by then.
const CENTRE_LOAD_AFTER: Duration = Duration::from_millis(1_500);
/// The number of other entries' records that are relayed in one datagram.
const RELAYED_RECORDS: usize = 2;
/// The maximum number of layer reports, of leaving runs and of quarantine marks in one datagram,
/// which keeps it small.
const MAX_ITEMS_PER_LIST: usize = 16;
/// How long an endpoint's layer report is relayed; several gossip periods, since datagrams
/// may be lost.
const LAYER_REPORT_MAX_AGE: Duration = Duration::from_secs(3);
/// The maximum size of a received datagram, in bytes.
const MAX_DATAGRAM: usize = 16 * 1024;

/// Receives gossip from peers.
pub(super) async fn listen(router: Arc<Router>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => receive(&router, &buf[..len], from),
            Err(e) => {
                spdlog::warn!("peers: cannot receive", kv: { why = e.to_string().as_str() });
                tokio::time::sleep(GOSSIP_PERIOD).await;
            }
        }
    }
}

fn receive(router: &Router, datagram: &[u8], from: SocketAddr) {
    if PermitMessage::is_one(datagram) {
        match ciborium::from_reader(datagram) {
            Ok(message) => router.receive_permit_message(message, from),
            Err(e) => log_malformed(from, &e.to_string()),
        }
        return;
    }
    let gossip: Gossip = match ciborium::from_reader(datagram) {
        Ok(gossip) => gossip,
        Err(e) => {
            log_malformed(from, &e.to_string());
            return;
        }
    };
    let now = Instant::now();
    let fresh = {
        let mut members = router.members.lock();
        members.merge_heartbeats(&gossip.heartbeats, now);
        let mut fresh = Vec::new();
        if let Some(sender) = gossip.members.first()
            && members.merge_sender(sender, now)
        {
            fresh.push(sender.entry.clone());
        }
        fresh.extend(members.merge(&gossip.members, now));
        fresh
    };
    for entry in &fresh {
        spdlog::info!("peers: entry joined or restarted", kv: { entry = entry.as_str() });
    }
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
    {
        let mut without_store = router.peers_without_store.lock();
        if gossip.reaches_store {
            without_store.remove(&sender.entry);
        } else {
            without_store.insert(sender.entry.clone());
        }
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
    router.note_fence(gossip.newest_fence);
    router.merge_quarantine(&gossip.quarantine, sender.entry.as_str(), now);
    router.merge_parts(&gossip.parts, sender.entry.as_str(), now);
    let mut endpoints = router.endpoints.lock();
    let by_key = router.short_keys.lock().get(&endpoints, now);
    let load = gossip.load.map(|load| {
        let known = load.iter().filter_map(|(key, requests, token_layers)| {
            let endpoint = by_key.get(key)?.clone();
            Some((endpoint, (*requests, f64::from(*token_layers))))
        });
        known.collect::<LoadShare>()
    });
    for heard in &gossip.heard {
        let Some(endpoint) = by_key.get(&heard.key) else {
            continue;
        };
        let Some(heard_at) = now.checked_sub(Duration::from_millis(heard.age_ms)) else {
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
                slowdown = heard.slowdown, age_ms = heard.age_ms
            });
            router.capacity_changed.notify_waiters();
        }
    }
    if let Some(load) = load {
        let mut loads = router.load.lock();
        match sender.data_centre == router.settings.data_centre {
            true => loads.set_peer(sender.entry.clone(), load),
            false => loads.set_centre(sender.data_centre.clone(), load, now),
        }
    }
    drop(endpoints);
    for notice in gossip.limits {
        if let Some(endpoint) = by_key.get(&notice.key) {
            receive_limit(router, endpoint, &notice, &sender.entry, now);
        }
    }
    for (key, started_unix_ms, age_ms) in gossip.dead {
        if let Some(endpoint) = by_key.get(&key).cloned() {
            let run = EndpointRun {
                endpoint,
                started_unix_ms,
            };
            router.note_dead(&run, Duration::from_millis(age_ms), sender.entry.as_str());
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
    let Some(said_at) = now.checked_sub(Duration::from_millis(notice.age_ms)) else {
        return;
    };
    match notice.per_second.map(RequestRate::try_from).transpose() {
        Ok(rate) => router.note_limit(&run, rate, said_at, from.as_str()),
        Err(e) => spdlog::warn!("peers: ignoring an invalid limit", kv: {
            endpoint = endpoint.as_str(), from = from.as_str(), why = e.to_string().as_str()
        }),
    }
}

fn log_malformed(from: SocketAddr, why: &str) {
    spdlog::warn!("peers: malformed datagram", kv: { from = from.to_string().as_str(), why });
}

/// Sends this entry's state to peers periodically.
pub(super) async fn gossip(router: Arc<Router>, socket: Arc<UdpSocket>) {
    let mut last_at = Instant::now();
    loop {
        tokio::time::sleep(URGENT_PAUSE).await;
        let period = jittered(GOSSIP_PERIOD).saturating_sub(URGENT_PAUSE);
        // A timeout and a notification both lead to the next round.
        let _ = tokio::time::timeout(period, router.urgent_news.notified()).await;
        router.review_parts();
        router.review_limits(last_at.elapsed() > PAUSE_LIMIT);
        last_at = Instant::now();
        send_gossip(&router, &socket).await;
        forget_lost(&router);
    }
}

/// Sends this entry's state to peers at once, after it has changed.
pub(crate) async fn announce(router: &Router) {
    match UdpSocket::bind(SocketAddr::new(router.settings.peer_address.ip(), 0)).await {
        Ok(socket) => send_gossip(router, &socket).await,
        Err(e) => spdlog::warn!("peers: cannot announce", kv: { why = e.to_string().as_str() }),
    }
}

async fn send_gossip(router: &Router, socket: &UdpSocket) {
    let targets = {
        let mut members = router.members.lock();
        members.next_targets(Instant::now(), &mut rand::rng())
    };
    for scope in [
        GossipScope::SameCentre,
        GossipScope::SameCentreLoad,
        GossipScope::OtherCentre,
    ] {
        let mut to = targets.clone();
        to.retain(|target| target.scope == scope);
        if to.is_empty() {
            continue;
        }
        let Some(datagram) = next_datagram(router, scope) else {
            return;
        };
        for target in to {
            if let Err(e) = socket.send_to(&datagram, target.address).await {
                spdlog::debug!("peers: cannot send a datagram", kv: {
                    why = e.to_string().as_str()
                });
            }
        }
    }
}

/// Encodes this entry's state, with the records and heartbeats of others.
fn next_datagram(router: &Router, scope: GossipScope) -> Option<Vec<u8>> {
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
    let endpoints = router.endpoints.lock();
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
            age_ms: ms(age),
        })
        .collect();
    let leaving = endpoints
        .leaving_runs()
        .map(|run| (short_key(&run.endpoint), run.started_unix_ms))
        .choose_multiple(&mut rand::rng(), max_items);
    let dead = endpoints
        .dead_runs(now)
        // Rounded up, so that the news cannot get younger by being passed around.
        .map(|(run, age)| (short_key(&run.endpoint), run.started_unix_ms, ms(age) + 1))
        .choose_multiple(&mut rand::rng(), MAX_ITEMS_PER_LIST);
    let limits = endpoints.limits().told(now);
    let limits = limits.map(|(run, rate, said_at)| LimitNotice {
        key: short_key(&run.endpoint),
        started_unix_ms: run.started_unix_ms,
        per_second: rate.map(RequestRate::per_second),
        // Rounded up, so that a notice cannot get younger by being passed around.
        age_ms: ms(now.saturating_duration_since(said_at)) + 1,
    });
    let limits = limits.choose_multiple(&mut rand::rng(), max_items);
    drop(endpoints);
    let load = load_to_tell(router, scope);
    let mut quarantine = router.quarantine.lock().marks(now);
    quarantine.truncate(max_items);
    let parts = match load_only {
        true => PartReport::default(),
        false => router.parts.lock().report(now),
    };
    let seen = router.endpoints_lag.lock().newest();
    let gossip = Gossip {
        members,
        heartbeats,
        reaches_store: router.store.is_reachable(),
        endpoints_revision: seen.revision,
        endpoints_era: seen.era,
        newest_fence: router.newest_fence(),
        load,
        heard,
        leaving,
        dead,
        limits,
        quarantine,
        parts,
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

/// Discards the state of lost peers and divides the retry budget again.
fn forget_lost(router: &Router) {
    let now = Instant::now();
    router.divide_retry_budget(now);
    let mut members = router.members.lock();
    members.expire(now);
    let lost = members
        .all(now)
        .into_iter()
        .filter(|(_, state)| *state == EntryState::Lost);
    let mut load = router.load.lock();
    load.expire_centres(now);
    for (record, _) in lost {
        load.forget_peer(&record.entry);
        router.peers_without_store.lock().remove(&record.entry);
    }
}
