//! Whether this entry and its peers reach the endpoints of each service.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use futures_util::future::join_all;
use parking_lot::Mutex;
use pistachioyard_policy::Reach;
use pistachioyard_wire::ServiceName;
use rand::seq::{IteratorRandom, SliceRandom};
use xxhash_rust::xxh3::xxh3_64;

use super::endpoint_client::Reuse;
use super::log::ms;
use super::{Router, filter};
use crate::prelude::*;

/// The number of further endpoints that are tried when the links become doubtful.
const TRIED_IN_DOUBT: usize = 6;
/// The number of endpoints that are tried at a time while a service is out of reach.
const TRIED_IN_LOSS: usize = 2;
/// The maximum number of endpoints that are tried to find one by which the links can be relied on.
const TRIED_TO_RELY: usize = 3;
/// How long an endpoint may take to answer when it is tried; a healthy one takes a few ms.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// What a peer has told of a service: the number of endpoints that are silent to it, and whether
/// it reaches none.
pub(crate) type ToldReach = (u32, bool);

/// Holds the reach of this entry.
#[derive(Default)]
pub(crate) struct OwnReach {
    /// The services that are out of reach, and since when.
    lost: Mutex<BTreeMap<ServiceName, Instant>>,
}

/// Returns the key that stands for a service in datagrams.
pub(crate) fn service_key(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

impl Router {
    /// Returns whether this entry reaches no endpoint of a service.
    pub(crate) fn is_out_of_reach(&self, service: &ServiceName) -> bool {
        self.reach.lost.lock().contains_key(service)
    }

    /// Returns the number of services that are out of reach.
    pub(crate) fn count_out_of_reach(&self) -> usize {
        self.reach.lost.lock().len()
    }

    /// Returns the peers that have told that a service is out of their reach.
    pub(crate) fn peers_out_of_reach(&self) -> BTreeSet<EntryId> {
        let peers = self.peer_reach.lock();
        let lost = peers
            .iter()
            .filter(|(_, told)| told.values().any(|(_, is_lost)| *is_lost));
        lost.map(|(entry, _)| entry.clone()).collect()
    }

    /// Returns what this entry tells of each service of which it misses endpoints.
    pub(crate) fn reach_to_tell(&self) -> Vec<(u32, u32, bool)> {
        let endpoints = self.endpoints.lock();
        let lost = self.reach.lost.lock();
        let services = endpoints.services().into_iter().filter_map(|service| {
            let is_lost = lost.contains_key(&service);
            let silent = endpoints.count_silent(&service) as u32;
            (is_lost || silent > 0).then(|| (service_key(&service), silent, is_lost))
        });
        services.collect()
    }

    /// Assesses the reach of all services; tries further endpoints of those that are in doubt or
    /// out of reach.
    pub(crate) async fn review_reach(&self) {
        let services = self.endpoints.lock().services();
        join_all(services.iter().map(|service| self.review_service(service))).await;
        let mut lost = self.reach.lost.lock();
        lost.retain(|service, _| services.contains(service));
    }

    async fn review_service(&self, service: &ServiceName) {
        let addresses = self.endpoints.lock().addresses_of(service);
        let mut reach = self.client.assess(&addresses);
        if reach == Reach::Sound && self.are_several_silent(service, &addresses) {
            reach = Reach::Doubtful;
        }
        let tried = match reach {
            Reach::Sound => 0,
            Reach::Doubtful => TRIED_IN_DOUBT,
            Reach::Lost => TRIED_IN_LOSS,
        };
        if tried > 0 {
            self.try_some(&addresses, tried).await;
            reach = self.client.assess(&addresses);
        }
        self.set_reach(service, reach == Reach::Lost);
    }

    /// Returns whether several endpoints have fallen silent since one last accepted a connection.
    fn are_several_silent(&self, service: &ServiceName, addresses: &[SocketAddr]) -> bool {
        let last_accepted = self.client.last_accepted(addresses);
        let endpoints = self.endpoints.lock();
        endpoints.count_silent_since(service, last_accepted) > 1
    }

    /// Tries some endpoints on new connections, first those that are not known to fail.
    async fn try_some(&self, addresses: &[SocketAddr], count: usize) {
        let mut ordered = addresses.to_vec();
        ordered.shuffle(&mut rand::rng());
        ordered.sort_by_key(|address| self.client.is_failing(*address));
        ordered.truncate(count);
        join_all(ordered.iter().map(|to| self.answers_anew(*to))).await;
    }

    /// Returns whether an endpoint answers on a new connection. That it accepts one says little,
    /// since a device on the way may accept it and reset it.
    async fn answers_anew(&self, to: SocketAddr) -> bool {
        let endpoint = {
            let endpoints = self.endpoints.lock();
            let record = endpoints.by_address(to);
            record.map(|record| record.endpoint.clone())
        };
        let Some(endpoint) = endpoint else {
            return false;
        };
        match filter::fetch_report_with(self, &endpoint, to, TRIAL_TIMEOUT, Reuse::Never).await {
            Ok(_) => true,
            // An endpoint of a plain service has no report, but it answers.
            Err(e) => e.is_answered(),
        }
    }

    fn set_reach(&self, service: &ServiceName, is_lost: bool) {
        let now = Instant::now();
        let mut lost = self.reach.lost.lock();
        match (lost.get(service).copied(), is_lost) {
            (None, true) => {
                lost.insert(service.clone(), now);
                drop(lost);
                let silent = self.endpoints.lock().count_silent(service);
                spdlog::warn!("reach: service out of reach", kv: {
                    service = service.as_str(), silent_endpoints = silent
                });
            }
            (Some(since), false) => {
                lost.remove(service);
                drop(lost);
                spdlog::info!("reach: service reached again", kv: {
                    service = service.as_str(),
                    after_ms = ms(now.saturating_duration_since(since))
                });
                // All endpoints that were ejected meanwhile are probed at once.
                self.endpoints.lock().probe_at_once(service, now);
                self.suspects_due.notify_one();
            }
            (None, false) | (Some(_), true) => return,
        }
        self.urgent_news.notify_one();
        self.capacity_changed.notify_waiters();
    }

    /// Returns whether this entry reaches other endpoints of a service than those at `except`,
    /// and tries some if none has accepted a connection after `since`.
    pub(crate) async fn reaches_others(
        &self,
        service: &ServiceName,
        except: SocketAddr,
        since: Instant,
    ) -> bool {
        let mut others = self.endpoints.lock().addresses_of(service);
        others.retain(|address| *address != except);
        if self.client.last_accepted(&others) > Some(since) {
            return true;
        }
        let tried = others
            .iter()
            .copied()
            .filter(|address| !self.client.is_failing(*address))
            .choose_multiple(&mut rand::rng(), TRIED_TO_RELY);
        for address in tried {
            if self.answers_anew(address).await {
                return true;
            }
        }
        false
    }
}
