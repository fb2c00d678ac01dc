//! Finds the other entries and exchanges state with them.
//!
//! Entries register in the store to be found, and then gossip in datagrams, which
//! need no connection that could go silent unnoticed. Nothing told here is needed
//! for correctness, and all of it ages out.

mod registry;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use pistachioyard_policy::Hearsay;
use pistachioyard_wire::{EntryState, LayerRange, MemberRecord, QuarantineMark};
use rand::seq::IteratorRandom;
pub(super) use registry::register;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use super::spread;
use crate::prelude::*;
use crate::router::Router;
use crate::router::log::ms;

/// How often an entry tells its state.
const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
/// The peers that are told at each period, in turn.
const FANOUT: usize = 8;
/// The records of other entries that are passed on in one datagram.
const PASSED_ON: usize = 2;
/// The most suspects and marks in one datagram, so that it stays small.
const MAX_MARKS: usize = 16;
/// How long what an endpoint said of its layers is passed on; several gossip periods,
/// since datagrams are lost.
const HEARD_SPAN: Duration = Duration::from_secs(3);
/// How long a peer may know of a change that has not come here; longer than watches are
/// spaced out.
const MAX_LAG: Duration = Duration::from_millis(700);
/// The largest datagram that is read.
const MAX_DATAGRAM: usize = 16 * 1024;

/// What entries tell each other.
#[derive(Deserialize, Serialize)]
struct Gossip {
    /// The sender's record first, then some that it passes on.
    members: Vec<MemberRecord>,
    /// Whether the store answers the sender.
    reaches_store: bool,
    /// The store's revision of the newest change of an endpoint that the sender saw.
    endpoints_revision: u64,
    /// The sender's load: an endpoint's short key, requests, token-layers.
    load: Vec<(u32, u32, f32)>,
    /// What endpoints said of their layers to the sender lately.
    heard: Vec<HeardLayers>,
    /// Requests that crashed endpoints.
    quarantine: Vec<QuarantineMark>,
}

/// What an endpoint said of its layers.
#[derive(Deserialize, Serialize)]
struct HeardLayers {
    key: u32,
    layers: Option<LayerRange>,
    is_moving: bool,
    orders_begun: u64,
    started_unix_ms: Option<u64>,
    slowdown: f32,
    age_ms: u64,
}

/// A short form of an endpoint's id; endpoints that share one only share load figures.
fn short_key(endpoint: &EndpointId) -> u32 {
    xxh3_64(endpoint.as_str().as_bytes()) as u32
}

/// Takes in what peers tell.
pub(super) async fn listen(router: Arc<Router>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => take_in(&router, &buf[..len], from),
            Err(e) => {
                spdlog::warn!("peers: cannot receive", kv: { why = e.to_string().as_str() });
                tokio::time::sleep(GOSSIP_PERIOD).await;
            }
        }
    }
}

fn take_in(router: &Router, datagram: &[u8], from: SocketAddr) {
    let gossip: Gossip = match ciborium::from_reader(datagram) {
        Ok(gossip) => gossip,
        Err(e) => {
            spdlog::warn!("peers: a datagram cannot be read", kv: {
                from = from.to_string().as_str(), why = e.to_string().as_str()
            });
            return;
        }
    };
    let now = Instant::now();
    let fresh = router.members.lock().merge(&gossip.members, now);
    for entry in fresh {
        spdlog::info!("peers: entry joined or restarted", kv: { entry = entry.as_str() });
    }
    let Some(sender) = gossip.members.first() else {
        return;
    };
    if sender.revision.0 > router.version() {
        router.config_behind.notify_one();
    }
    {
        let mut cut_off = router.cut_off_peers.lock();
        if gossip.reaches_store {
            cut_off.remove(&sender.entry);
        } else {
            cut_off.insert(sender.entry.clone());
        }
    }
    notice_lag(router, gossip.endpoints_revision, now);
    router.quarantine.lock().merge(&gossip.quarantine, now);
    let mut endpoints = router.endpoints.lock();
    let by_key: HashMap<u32, EndpointId> = endpoints
        .ids()
        .map(|id| (short_key(id), id.clone()))
        .collect();
    let load = gossip
        .load
        .iter()
        .filter_map(|(key, requests, token_layers)| {
            let endpoint = by_key.get(key)?.clone();
            Some((endpoint, (*requests, f64::from(*token_layers))))
        });
    let load = load.collect();
    for heard in &gossip.heard {
        let Some(endpoint) = by_key.get(&heard.key) else {
            continue;
        };
        let Some(heard_at) = now.checked_sub(Duration::from_millis(heard.age_ms)) else {
            continue;
        };
        let is_news = endpoints.apply_hearsay(&Hearsay {
            endpoint: endpoint.clone(),
            layers: heard.layers,
            is_moving: heard.is_moving,
            orders_begun: heard.orders_begun,
            started_unix_ms: heard.started_unix_ms,
            slowdown: f64::from(heard.slowdown),
            heard_at,
        });
        if is_news {
            let layers = heard.layers.map(|l| l.to_string()).unwrap_or_default();
            spdlog::info!("endpoints: heard from a peer", kv: {
                endpoint = endpoint.as_str(), from = sender.entry.as_str(),
                layers = layers.as_str(), is_moving = heard.is_moving,
                slowdown = heard.slowdown, age_ms = heard.age_ms
            });
            router.room.notify_waiters();
        }
    }
    router.load.lock().set_peer(sender.entry.clone(), load);
}

/// Has the endpoints read anew when a peer has known of a change for longer than a
/// watch takes to bring it here.
fn notice_lag(router: &Router, revision: u64, now: Instant) {
    let mut behind_since = router.behind_since.lock();
    if revision <= router.endpoints_revision.load(Ordering::Relaxed) {
        *behind_since = None;
        return;
    }
    let since = *behind_since.get_or_insert(now);
    if now.saturating_duration_since(since) > MAX_LAG {
        *behind_since = None;
        router.endpoints_behind.notify_one();
    }
}

/// Tells peers this entry's state, again and again.
pub(super) async fn gossip(router: Arc<Router>, socket: Arc<UdpSocket>) {
    loop {
        tokio::time::sleep(spread(GOSSIP_PERIOD)).await;
        announce_over(&router, &socket).await;
        forget_lost(&router);
    }
}

/// Tells peers at once that this entry's state has changed.
pub(crate) async fn announce(router: &Router) {
    match UdpSocket::bind(SocketAddr::new(router.settings.peer_address.ip(), 0)).await {
        Ok(socket) => announce_over(router, &socket).await,
        Err(e) => spdlog::warn!("peers: cannot announce", kv: { why = e.to_string().as_str() }),
    }
}

async fn announce_over(router: &Router, socket: &UdpSocket) {
    let (datagram, to) = {
        let now = Instant::now();
        let mut members = router.members.lock();
        members.set_own_state(own_state(router), Revision(router.version()));
        members.advance_heartbeat(now);
        let own = members.own_record().clone();
        let others = members
            .gossip_records(now)
            .into_iter()
            .filter(|r| r.entry != own.entry);
        let others: Vec<MemberRecord> = others.collect();
        let mut rng = rand::rng();
        let to = members.gossip_addresses(FANOUT, now, &mut rng);
        let mut told = vec![own];
        told.extend(others.into_iter().choose_multiple(&mut rng, PASSED_ON));
        (encode(router, told, now), to)
    };
    let Some(datagram) = datagram else {
        return;
    };
    for peer in to {
        if let Err(e) = socket.send_to(&datagram, peer).await {
            spdlog::debug!("peers: cannot send", kv: { why = e.to_string().as_str() });
        }
    }
}

fn own_state(router: &Router) -> EntryState {
    if router.lifecycle.is_draining() {
        EntryState::Draining
    } else {
        EntryState::Live
    }
}

fn encode(router: &Router, members: Vec<MemberRecord>, now: Instant) -> Option<Vec<u8>> {
    let endpoints = router.endpoints.lock();
    let heard = endpoints
        .heard_within(HEARD_SPAN, now)
        .into_iter()
        .take(MAX_MARKS);
    let heard = heard
        .map(|(record, age)| HeardLayers {
            key: short_key(&record.endpoint),
            layers: record.state.layers,
            is_moving: record.state.is_moving,
            orders_begun: record.state.orders_begun,
            started_unix_ms: record.state.started_unix_ms,
            slowdown: record.state.slowdown as f32,
            age_ms: ms(age),
        })
        .collect();
    drop(endpoints);
    let load = router.load.lock();
    let load = load.own().map(|(endpoint, requests, token_layers)| {
        (short_key(endpoint), requests, token_layers as f32)
    });
    let mut quarantine = router.quarantine.lock().marks(now);
    quarantine.truncate(MAX_MARKS);
    let gossip = Gossip {
        members,
        reaches_store: router.store.is_reached(),
        endpoints_revision: router.endpoints_revision.load(Ordering::Relaxed),
        load: load.collect(),
        heard,
        quarantine,
    };
    let mut datagram = Vec::new();
    match ciborium::into_writer(&gossip, &mut datagram) {
        Ok(()) => Some(datagram),
        Err(e) => {
            spdlog::error!("peers: cannot encode", kv: { why = e.to_string().as_str() });
            None
        }
    }
}

fn forget_lost(router: &Router) {
    let now = Instant::now();
    router.divide_retries(now);
    let mut members = router.members.lock();
    members.expire(now);
    let lost = members
        .all(now)
        .into_iter()
        .filter(|(_, state)| *state == EntryState::Lost);
    let mut load = router.load.lock();
    for (record, _) in lost {
        load.forget_peer(&record.entry);
        router.cut_off_peers.lock().remove(&record.entry);
    }
}
