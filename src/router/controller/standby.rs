//! Learns from a peer what the store would say, while the store does not answer here.
//!
//! The store may turn single hosts away for long, and may be down when a process
//! starts. A peer that has a configuration hands it over with its list of endpoints;
//! only a newer version is adopted, so the store's word always wins.

use std::collections::BTreeSet;

use pistachioyard_policy::EndpointRecord;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::{config, endpoints, spread};
use crate::client::{Call, HttpClient, Reuse};
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;

/// The path at which peers hand over their state.
pub(crate) const STATE_PATH: &str = "/v1/state";
/// How often a peer is asked while the store does not answer.
const PULL_PERIOD: Duration = Duration::from_millis(600);
/// How long a peer may take to hand its state over.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// What an entry knows from the store.
#[derive(Deserialize, Serialize)]
struct State {
    /// The content of the configuration in force, as JSON text.
    config: Option<String>,
    /// Whether the sender reads the store now, so that what it does not list is gone.
    is_current: bool,
    endpoints: Vec<EndpointRecord>,
}

/// Encodes what this entry knows; none if it knows nothing to hand over.
pub(crate) fn encode_state(router: &Router) -> Option<Vec<u8>> {
    let in_force = router.in_force()?;
    let state = State {
        config: Some(in_force.source.to_string()),
        is_current: router.store.is_reached(),
        endpoints: router.endpoints.lock().records().cloned().collect(),
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

/// Asks peers while the store does not answer.
pub(super) async fn run(router: Arc<Router>) {
    let client = HttpClient::new(None, Reuse::Fresh);
    loop {
        tokio::time::sleep(spread(PULL_PERIOD)).await;
        if router.store.is_reached() {
            continue;
        }
        let peer = {
            let members = router.members.lock();
            let live = members.live(Instant::now());
            let peers = live.iter().filter(|record| {
                record.entry != router.settings.entry && record.revision > Revision(0)
            });
            let addresses = peers.map(|record| record.peer_address);
            addresses.choose(&mut rand::rng())
        };
        let Some(peer) = peer else {
            continue;
        };
        match pull(&client, peer).await {
            Ok(state) => take_over(&router, state),
            Err(e) => spdlog::debug!("peers: no state", kv: { why = e.to_string().as_str() }),
        }
    }
}

async fn pull(client: &HttpClient, peer: std::net::SocketAddr) -> Result<State, CallError> {
    let answer = client
        .send(Call::get(peer, STATE_PATH), PULL_TIMEOUT)
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

fn take_over(router: &Arc<Router>, state: State) {
    // The store may have come back while the peer answered; its word goes first.
    if router.store.is_reached() {
        return;
    }
    let config = state.config.map(|text| serde_json::from_str(&text));
    match config {
        Some(Ok(source)) => config::adopt_source(router, &source, "peer"),
        Some(Err(e)) => {
            spdlog::warn!("peers: a configuration cannot be read", kv: {
                why = e.to_string().as_str()
            });
        }
        None => {}
    }
    let listed: BTreeSet<EndpointId> = state
        .endpoints
        .iter()
        .map(|record| record.endpoint.clone())
        .collect();
    for record in state.endpoints {
        endpoints::apply_record(router, record, "peer");
    }
    if state.is_current {
        let known: Vec<EndpointId> = router.endpoints.lock().ids().cloned().collect();
        for endpoint in known.iter().filter(|endpoint| !listed.contains(*endpoint)) {
            // The peer reads the store without an outage of its own.
            endpoints::remove(router, endpoint, None);
        }
    }
}
