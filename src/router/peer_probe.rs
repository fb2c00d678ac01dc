//! Second opinions of peers on endpoints that do not answer this entry.
//!
//! An endpoint that answers a peer is only out of reach here. `docs/design/cut-entries.md`
//! describes what depends on it.

use std::net::SocketAddr;

use pistachioyard_policy::{EndpointRun, RunFate};
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};

use super::{Router, filter};
use crate::client::Call;
use crate::error::CallError;
use crate::prelude::*;

/// The path at which an entry probes an endpoint for a peer.
pub(crate) const PROBE_PATH: &str = "/v1/probe";
/// How long an endpoint may take to answer a probe for a peer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a peer may take, which probes and, if that fails, tries other endpoints.
const OPINION_TIMEOUT: Duration = Duration::from_millis(700);

/// Says what a peer has found out about a run of an endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum Opinion {
    /// The run answers.
    Alive,
    /// It does not answer, and other endpoints do.
    Dead,
    /// The peer cannot tell.
    Unknown,
}

/// The query of a call for an opinion.
#[derive(Deserialize, Serialize)]
struct Asked {
    endpoint: EndpointId,
    started_unix_ms: Option<u64>,
}

impl Router {
    /// Returns what became of a run of an endpoint that does not answer this entry. It has ended
    /// if a peer does not reach it either or, if no peer can tell, if this entry reaches others.
    pub(crate) async fn fate_of_silent(&self, run: &EndpointRun) -> RunFate {
        let known = self.endpoints.lock().get(&run.endpoint).cloned();
        let Some(record) = known.filter(|known| known.run() == *run) else {
            // It has ended, as the store says.
            return RunFate::Ended;
        };
        let opinion = self
            .reports
            .opinion(record.address, self.ask_peer(run))
            .await;
        let now = Instant::now();
        let fate = match opinion {
            Opinion::Alive => {
                self.endpoints
                    .lock()
                    .note_reached_elsewhere(&run.endpoint, now);
                RunFate::Alive
            }
            Opinion::Dead => RunFate::Ended,
            Opinion::Unknown => {
                let reaches_others = self.reaches_others(&record.service, record.address, now);
                match reaches_others.await {
                    true => RunFate::Ended,
                    false => RunFate::Unknown,
                }
            }
        };
        spdlog::info!("reach: asked a peer about a silent endpoint", kv: {
            endpoint = run.endpoint.as_str(), opinion:?, fate = fate.as_str()
        });
        fate
    }

    /// Asks a peer whether a run of an endpoint is alive.
    async fn ask_peer(&self, run: &EndpointRun) -> Opinion {
        let Some(peer) = self.choose_judge() else {
            return Opinion::Unknown;
        };
        let asked = Asked {
            endpoint: run.endpoint.clone(),
            started_unix_ms: run.started_unix_ms,
        };
        let call = Call::new(http::Method::POST, peer, PROBE_PATH).json(&asked);
        let answer = self.peer_client.send(call, OPINION_TIMEOUT).await;
        let opinion = answer.and_then(|answer| answer.parse_success());
        opinion.unwrap_or_else(|e| {
            spdlog::info!("peers: no second opinion", kv: {
                endpoint = run.endpoint.as_str(), why = e.to_string().as_str()
            });
            Opinion::Unknown
        })
    }

    /// Returns the address of a random live peer; of one in another data centre if there is any,
    /// since all entries of a data centre may be cut off together.
    fn choose_judge(&self) -> Option<SocketAddr> {
        let lost = self.peers_out_of_reach();
        let members = self.members.lock();
        let peers = members.live(Instant::now()).into_iter();
        let peers = peers.filter(|record| {
            record.entry != self.settings.entry
                && record.revision > Revision(0)
                && !lost.contains(&record.entry)
        });
        let (far, near): (Vec<_>, Vec<_>) =
            peers.partition(|record| record.data_centre != self.settings.data_centre);
        let candidates = if far.is_empty() { near } else { far };
        let addresses = candidates.into_iter().map(|record| record.peer_address);
        addresses.choose(&mut rand::rng())
    }

    /// Probes an endpoint for a peer, and returns the answer for it.
    pub(crate) async fn answer_peer(&self, asked: &[u8]) -> Option<Vec<u8>> {
        let asked: Asked = match serde_json::from_slice(asked) {
            Ok(asked) => asked,
            Err(e) => {
                spdlog::warn!("peers: malformed question for a probe", kv: {
                    why = e.to_string().as_str()
                });
                return None;
            }
        };
        let opinion = self.probe_for_peer(&asked).await;
        serde_json::to_vec(&opinion).ok()
    }

    async fn probe_for_peer(&self, asked: &Asked) -> Opinion {
        let record = self.endpoints.lock().get(&asked.endpoint).cloned();
        let Some(record) = record else {
            return Opinion::Unknown;
        };
        match (record.state.started_unix_ms, asked.started_unix_ms) {
            (known, asked) if known == asked => {}
            (Some(known), Some(asked)) if known > asked => return Opinion::Dead,
            _ => return Opinion::Unknown,
        }
        let since = Instant::now();
        let to = record.address;
        match filter::fetch_report(self, &record.endpoint, to, PROBE_TIMEOUT).await {
            Ok(report) if report.started_unix_ms == asked.started_unix_ms => Opinion::Alive,
            Ok(_) => Opinion::Dead,
            // An endpoint of a plain service has no report, but it answers.
            Err(e) if e.is_answered() => Opinion::Alive,
            Err(CallError::Shortage { .. }) => Opinion::Unknown,
            Err(_) => {
                match self
                    .reaches_others(&record.service, record.address, since)
                    .await
                {
                    true => Opinion::Dead,
                    false => Opinion::Unknown,
                }
            }
        }
    }
}
