//! Discovers the other entries and exchanges state with them by gossip.
//!
//! Entries register in the store to be discovered, and then gossip over UDP, which has no
//! connections that could die unnoticed. Gossip is not needed for correctness, and all
//! state received by it expires. What an entry sends and receives is bounded for fleets of any
//! size (`docs/design/membership.md`).

mod datagram;
mod messages;
mod receive;
mod registry;
mod short_keys;

use std::net::SocketAddr;

use datagram::next_datagram;
use pistachioyard_policy::GossipScope;
use pistachioyard_wire::EntryState;
use receive::receive;
pub(super) use registry::register;
pub(crate) use short_keys::ShortKeys;
use tokio::net::UdpSocket;

use super::jittered;
use crate::prelude::*;
use crate::router::Router;

/// How often an entry sends its state to peers.
pub(crate) const GOSSIP_PERIOD: Duration = Duration::from_millis(250);
/// The minimum time between two rounds if something urgent is to be told.
const URGENT_PAUSE: Duration = Duration::from_millis(20);
/// How long after the last period the next one ends in a process that was not paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(750);
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
        router.review_departures(Instant::now());
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
    router.load.lock().reading_mut().end_round();
}

/// Discards the state of lost peers and divides the retry budget again.
fn forget_lost(router: &Router) {
    let now = Instant::now();
    router.divide_retry_budgets(now);
    let mut members = router.members.lock();
    members.expire(now);
    let lost = members
        .all(now)
        .into_iter()
        .filter(|(_, state)| *state == EntryState::Lost);
    let mut load = router.load.lock();
    load.expire_centres(now);
    let lost: Vec<_> = lost.collect();
    let lost_entries = lost.iter().map(|(record, _)| &record.entry);
    router.admission.expire(lost_entries, now);
    for (record, _) in lost {
        load.forget_peer(&record.entry);
        router.peers_without_store.lock().remove(&record.entry);
        router.failing_peers.lock().remove(&record.entry);
        router.peer_reach.lock().remove(&record.entry);
        router.forget_departures(&record.entry);
    }
}
