//! Copies the configuration and the endpoints from a peer while the store is unreachable, and
//! the configuration also while the store has an older one.
//!
//! The store may refuse individual hosts for a long time, and may be down when a process
//! starts. A peer that has a configuration returns it with its list of endpoints. Only a
//! newer version is adopted, so the store stays authoritative. A store that came back from an
//! older copy lacks the version that the peers have adopted until the operator writes it again.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pistachioyard_policy::EndpointRecord;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{config, endpoints, jittered};
use crate::client::{Call, HttpClient, Reuse};
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;

/// The path at which an entry serves its state to peers.
pub(crate) const STATE_PATH: &str = "/v1/state";
/// How often a peer is asked while the store is unreachable, and how long the store may take to
/// show a version that a peer has.
const FETCH_PERIOD: Duration = Duration::from_millis(600);
/// How long a peer may take to return its state.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Holds the state that an entry has read from the store.
#[derive(Deserialize, Serialize)]
struct State {
    /// The content of the active configuration, as JSON text.
    config: Option<String>,
    /// Whether the sender reaches the store, so that endpoints missing here were deleted.
    is_current: bool,
    endpoints: Vec<EndpointRecord>,
}

/// Encodes this entry's state; returns `None` if it has no configuration yet.
pub(crate) fn encode_state(router: &Router) -> Option<Vec<u8>> {
    let active = router.active_config()?;
    let state = State {
        config: Some(active.source.to_string()),
        is_current: router.store.is_reachable(),
        endpoints: router.endpoints.lock().stored_records().cloned().collect(),
    };
    let mut body = Vec::new();
    match ciborium::into_writer(&state, &mut body) {
        Ok(()) => Some(body),
        Err(e) => {
            spdlog::error!("peers: cannot encode the state", kv: { why = e.to_string().as_str() });
            None
        }
    }
}

/// Fetches the state of a random peer at intervals while the store is unreachable, or from one
/// that has a newer configuration than the store for longer than an interval.
pub(super) async fn run(router: Arc<Router>) {
    let client = HttpClient::new(None, Reuse::Fresh);
    let mut was_outdated = false;
    loop {
        tokio::time::sleep(jittered(FETCH_PERIOD)).await;
        let own_version = Revision(router.version());
        let ahead = choose_peer(&router, own_version);
        let is_outdated = was_outdated && ahead.is_some();
        was_outdated = ahead.is_some();
        let peer = if !router.store.is_reachable() {
            choose_peer(&router, Revision(0))
        } else if is_outdated {
            ahead
        } else {
            None
        };
        let Some(peer) = peer else {
            continue;
        };
        match fetch_state(&client, peer).await {
            Ok(state) => apply_state(&router, state).await,
            Err(e) => spdlog::debug!("peers: fetch failed", kv: { why = e.to_string().as_str() }),
        }
    }
}

/// Returns the address of a random live peer whose configuration is newer than a version.
fn choose_peer(router: &Router, newer_than: Revision) -> Option<SocketAddr> {
    let members = router.members.lock();
    let live = members.live(Instant::now());
    let peers = live
        .iter()
        .filter(|record| record.entry != router.settings.entry && record.revision > newer_than);
    let addresses = peers.map(|record| record.peer_address);
    addresses.choose(&mut rand::rng())
}

async fn fetch_state(client: &HttpClient, peer: SocketAddr) -> Result<State, CallError> {
    let answer = client
        .send(Call::get(peer, STATE_PATH), FETCH_TIMEOUT)
        .await?;
    if !answer.status.is_success() {
        return Err(CallError::Status {
            to: peer,
            status: answer.status.as_u16(),
        });
    }
    ciborium::from_reader(answer.body.as_ref()).map_err(|e| CallError::Malformed {
        to: peer,
        why: e.to_string(),
    })
}

async fn apply_state(router: &Arc<Router>, state: State) {
    let config = state
        .config
        .map(|text| serde_json::from_str::<Box<RawValue>>(&text));
    match config {
        Some(Ok(source)) => config::adopt_source(router, &source, "peer"),
        Some(Err(e)) => {
            spdlog::warn!("peers: configuration from a peer is not valid JSON", kv: {
                why = e.to_string().as_str()
            });
        }
        None => {}
    }
    // The store may have recovered during the call, and its endpoints take precedence.
    if router.store.is_reachable() {
        return;
    }
    let listed: BTreeSet<EndpointId> = state
        .endpoints
        .iter()
        .map(|record| record.endpoint.clone())
        .collect();
    let news = endpoints::apply_all(router, state.endpoints);
    if state.is_current {
        let known: Vec<EndpointId> = router.endpoints.lock().stored_ids().cloned().collect();
        for endpoint in known.iter().filter(|endpoint| !listed.contains(*endpoint)) {
            // The peer reaches the store, so the deletion needs no grace period.
            endpoints::remove(router, endpoint, None, None);
        }
    }
    router.note_ended_runs();
    endpoints::log_all(router, &news, "peer").await;
}
