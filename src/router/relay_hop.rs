//! Requests that an entry passes on to a peer, since it does not reach the endpoints itself.
//!
//! `docs/design/cut-entries.md` weighs the ways.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::Full;
use pistachioyard_platform::{AnswerHead, encode_relay_headers};
use pistachioyard_wire::ServiceName;
use rand::seq::IteratorRandom;

use super::filter::Call;
use super::reach::service_key;
use super::{Router, metric};
use crate::prelude::*;

/// Marks a request that was passed on; holds the least version of the configuration that may
/// decide on it. In the answer it holds the version that did.
const VERSION: HeaderName = HeaderName::from_static("pistachioyard-relay");
/// Set in the answer of a peer that sent the request to no endpoint.
const NOT_SENT: HeaderName = HeaderName::from_static("pistachioyard-not-sent");

/// The number of silent endpoints of a service from which on this entry's links to some of them may
/// be lost; single ones are more likely down.
const MIN_SILENT: usize = 2;

/// A peer to which a request is passed on.
#[derive(Clone, Debug)]
pub(crate) struct PeerHop {
    /// The peer's name, in place of an endpoint's id.
    pub(crate) name: EndpointId,
    pub(crate) address: SocketAddr,
}

/// Says why a request that was passed on cannot be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum RelayError {
    /// The header holds no version.
    #[error("the header {VERSION} holds no version of a configuration")]
    Malformed,
    /// The configuration of this entry is older than the sender's.
    #[error("the configuration {own} is older than {required}; the request was not run")]
    Outdated {
        /// The version that this entry has.
        own: u64,
        /// The least version that may decide.
        required: u64,
    },
}

/// Says whether a request that a peer refused has arrived at an endpoint. One that has not is
/// passed on to another peer at no cost to the retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Arrival {
    /// The peer sent it to no endpoint.
    None,
    /// An endpoint may have refused it.
    Possible,
}

/// Says in an answer that the request was sent to no endpoint.
pub(crate) fn mark_not_sent(headers: &mut HeaderMap) {
    headers.insert(NOT_SENT, HeaderValue::from_static("1"));
}

/// Takes the mark out of the headers of a request that a peer sent; returns the least version
/// that may decide on it, or `None` if the request was not passed on.
pub(crate) fn take_mark(headers: &mut HeaderMap) -> Option<Result<u64, RelayError>> {
    let value = headers.remove(VERSION)?;
    let version = value.to_str().ok().and_then(|text| text.parse().ok());
    Some(version.ok_or(RelayError::Malformed))
}

/// Returns whether a request was passed on.
pub(crate) fn is_marked(headers: &HeaderMap) -> bool {
    headers.contains_key(VERSION)
}

/// Returns whether a peer's answer says that the request was not run, and will not be.
pub(crate) fn is_not_run(head: &AnswerHead) -> bool {
    let is_promise = matches!(
        head.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    is_promise && !head.is_signed
}

/// Builds the request to a peer; `last_event_id` is the last event that the caller has.
pub(crate) fn request(
    router: &Router,
    call: &Call,
    time_left: Duration,
    last_event_id: Option<u64>,
) -> Request<Full<Bytes>> {
    metric::count_relay();
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    // The path was parsed from the caller's request, so it is valid.
    *req.uri_mut() = call.path_and_query.parse().unwrap_or_default();
    let mut headers = encode_relay_headers(&call.headers, time_left, last_event_id);
    headers.insert(VERSION, HeaderValue::from(router.least_peer_version()));
    *req.headers_mut() = headers;
    req
}

impl Router {
    /// Checks that this entry's configuration is recent enough for a request that was passed on.
    pub(crate) fn check_relayed(&self, required: Result<u64, RelayError>) -> Result<(), Problem> {
        let own = self.version();
        let refusal = match required {
            Ok(required) if own >= required => return Ok(()),
            Ok(required) => RelayError::Outdated { own, required },
            Err(e) => e,
        };
        if refusal != RelayError::Malformed {
            self.config_outdated.notify_one();
        }
        let problem = Problem::new(ProblemKind::NoConfig, Outcome::NotRun, refusal.to_string());
        Err(problem)
    }

    /// Adds the version of the configuration to the answer to a request that was passed on.
    pub(crate) fn mark_relayed_answer(&self, headers: &mut HeaderMap) {
        headers.insert(VERSION, HeaderValue::from(self.version()));
    }

    /// Takes what a peer says of a request that was passed on out of its answer.
    pub(crate) fn take_relay_marks(&self, headers: &mut HeaderMap) -> Arrival {
        if let Some(Ok(version)) = take_mark(headers) {
            self.newest_peer_version
                .fetch_max(version, Ordering::Relaxed);
            if version > self.version() {
                self.config_outdated.notify_one();
            }
        }
        match headers.remove(NOT_SENT) {
            Some(_) => Arrival::None,
            None => Arrival::Possible,
        }
    }

    /// Returns the least version that may decide on a request that is passed on: an entry does
    /// not fall back behind a version that has decided on one of its requests.
    fn least_peer_version(&self) -> u64 {
        let newest = self.newest_peer_version.load(Ordering::Relaxed);
        newest.max(self.version())
    }

    /// Chooses a peer that reaches the endpoints of a service which this entry does not reach;
    /// none if this entry misses no more of them than its peers.
    ///
    /// Peers of the same data centre come first, and of these the one with the fewest requests of
    /// this entry.
    pub(crate) fn find_peer_hop(
        &self,
        service: &ServiceName,
        without: &[EndpointId],
    ) -> Option<PeerHop> {
        let now = Instant::now();
        let is_lost = self.is_out_of_reach(service);
        let silent = self.endpoints.lock().count_silent(service);
        if !is_lost && silent < MIN_SILENT {
            return None;
        }
        let least = Revision(self.least_peer_version());
        let key = service_key(service);
        let members = self.members.lock();
        let load = self.load.lock();
        let reach = self.peer_reach.lock();
        let own = &self.settings.entry;
        let peers = members.live(now).into_iter().filter_map(|record| {
            let told = reach.get(&record.entry).and_then(|told| told.get(&key));
            let (their_silent, their_lost) = told.copied().unwrap_or_default();
            let reaches_more = is_lost || their_silent as usize * 2 <= silent;
            let is_fit = record.entry != *own && record.revision >= least;
            let hop = PeerHop {
                name: EndpointId::try_from(record.entry.as_str()).ok()?,
                address: record.peer_address,
            };
            let is_chosen = is_fit && !their_lost && reaches_more && !without.contains(&hop.name);
            let is_far = record.data_centre != self.settings.data_centre;
            is_chosen.then(|| ((is_far, load.requests(&hop.name)), hop))
        });
        let peers: Vec<_> = peers.collect();
        let least_loaded = peers.iter().map(|(rank, _)| *rank).min()?;
        let best = peers.into_iter().filter(|(rank, _)| *rank == least_loaded);
        best.map(|(_, hop)| hop).choose(&mut rand::rng())
    }
}
