//! What the data centres tell each other of their room, and when requests leave this one.

use std::collections::{BTreeMap, BTreeSet};

use parking_lot::Mutex;
use pistachioyard_policy::{
    CentreNews, CentreRoom, DepartureTerms, Departures, GossipScope, PipelineSpec,
};
use pistachioyard_wire::{DataCentre, MemberRecord, ServiceName};

use super::reach::service_key;
use super::{LoadControl, Router, metric};
use crate::prelude::*;

/// The maximum number of services that one datagram tells of.
const MAX_SERVICES: usize = 16;
/// By how much the wish to leave must have changed, from 0 to 1, to be logged again.
const LOGGED_STEP: f64 = 0.25;

/// What an entry tells of a service: its key, the tokens that its data centre offers, and the
/// number of entries that want to send elsewhere. Inside a data centre only the sender counts.
pub(crate) type ToldDeparture = (u32, f32, u32);

/// Holds the state of each service whose endpoints are in several data centres.
pub(crate) type DepartureStates = Mutex<BTreeMap<ServiceName, DepartureState>>;

/// Holds the state of one service.
pub(crate) struct DepartureState {
    departures: Departures,
    wanting_peers: BTreeSet<EntryId>,
    /// The wish to leave that was logged last.
    logged: f64,
}

impl Router {
    /// Assesses the room of this data centre for each service that calls for it: one whose
    /// endpoints hold parts of a model in several data centres with links of a limited rate.
    pub(crate) fn review_departures(&self, now: Instant) {
        let Some(config) = self.active_config() else {
            return;
        };
        if !self.uses(LoadControl::Departures) {
            return;
        }
        let linked = config.table.pipelines();
        let linked: Vec<(&ServiceName, &Arc<PipelineSpec>)> = linked
            .filter(|(_, spec)| spec.pipe_mbps.is_some())
            .collect();
        let rooms: Vec<(&ServiceName, CentreRoom)> = linked
            .into_iter()
            .filter_map(|(service, spec)| Some((service, self.centre_room(service, spec, now)?)))
            .collect();
        let mut states = self.departures.lock();
        states.retain(|service, _| rooms.iter().any(|(known, _)| *known == service));
        for (service, room) in rooms {
            let state = states.entry(service.clone());
            let state = state.or_insert_with(DepartureState::new);
            let wanting_peers = state.wanting_peers.len();
            state.departures.review(&room, wanting_peers, now);
            state.show(service, &room);
        }
    }

    /// Measures the room of this data centre; none if all endpoints are in one data centre.
    fn centre_room(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
        now: Instant,
    ) -> Option<CentreRoom> {
        let home = &self.settings.data_centre;
        let endpoints = self.endpoints.lock();
        let load = self.load.lock();
        let offers = endpoints.offers(service, spec, &load, now);
        let is_elsewhere = offers.iter().any(|offer| offer.data_centre != *home);
        let own_use = |endpoint: &EndpointId| load.centre_token_layers(endpoint);
        is_elsewhere.then(|| CentreRoom::measure(spec, &offers, home, own_use))
    }

    /// Returns what a datagram of a scope tells.
    pub(crate) fn departures_to_tell(&self, scope: GossipScope) -> Vec<ToldDeparture> {
        let states = self.departures.lock();
        let told = states.iter().filter_map(|(service, state)| {
            let own = u32::from(state.departures.wants());
            let (offered, wanting) = match scope {
                GossipScope::SameCentre | GossipScope::SameCentreLoad => (0.0, own),
                GossipScope::OtherCentre => (
                    state.departures.offered_tokens() as f32,
                    own + state.wanting_peers.len() as u32,
                ),
            };
            let has_news = scope == GossipScope::OtherCentre || wanting > 0;
            has_news.then(|| (service_key(service), offered, wanting))
        });
        told.take(MAX_SERVICES).collect()
    }

    /// Records what a peer has told.
    pub(crate) fn note_departures(
        &self,
        sender: &MemberRecord,
        told: &[ToldDeparture],
        now: Instant,
    ) {
        let is_near = sender.data_centre == self.settings.data_centre;
        for (service, state) in &mut *self.departures.lock() {
            let key = service_key(service);
            let told = told.iter().find(|(told_key, ..)| *told_key == key);
            match told {
                Some((.., wanting)) if is_near && *wanting > 0 => {
                    state.wanting_peers.insert(sender.entry.clone());
                }
                Some(_) | None if is_near => {
                    state.wanting_peers.remove(&sender.entry);
                }
                Some((_, offered, wanting)) if offered.is_finite() => {
                    let news = CentreNews {
                        offered_tokens: f64::from(offered.max(0.0)),
                        wanting: *wanting as usize,
                        told_at: now,
                    };
                    state.departures.note(sender.data_centre.clone(), news);
                }
                Some(_) | None => {}
            }
        }
    }

    /// Discards what a lost peer has told.
    pub(crate) fn forget_departures(&self, entry: &EntryId) {
        for state in self.departures.lock().values_mut() {
            state.wanting_peers.remove(entry);
        }
    }

    /// Returns the terms on which requests for a service may start in other data centres.
    pub(crate) fn departure_terms(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
    ) -> Option<DepartureTerms> {
        let used = self.tokens_elsewhere(service, spec);
        let states = self.departures.lock();
        let departures = &states.get(service)?.departures;
        let used = |centre: &DataCentre| used.get(centre).copied().unwrap_or_default();
        Some(departures.terms(spec, used))
    }

    /// Returns the tokens that this entry's requests use in each data centre.
    fn tokens_elsewhere(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
    ) -> BTreeMap<DataCentre, f64> {
        let endpoints = self.endpoints.lock();
        let load = self.load.lock();
        let mut used = BTreeMap::new();
        for (endpoint, _, token_layers) in load.own() {
            let Some(record) = endpoints.get(endpoint) else {
                continue;
            };
            if record.service == *service && record.data_centre != self.settings.data_centre {
                let tokens = token_layers / f64::from(spec.layers.max(1));
                *used.entry(record.data_centre.clone()).or_default() += tokens;
            }
        }
        used
    }
}

impl DepartureState {
    fn new() -> Self {
        Self {
            departures: Departures::new(rand::random()),
            wanting_peers: BTreeSet::new(),
            logged: 0.0,
        }
    }

    /// Logs and counts how much may leave, if that has changed noticeably.
    fn show(&mut self, service: &ServiceName, room: &CentreRoom) {
        let want = self.departures.want();
        let granted_tokens = self.departures.granted_tokens();
        metric::set_departures(service, want, granted_tokens);
        let has_ended = self.logged > 0.0 && !self.departures.wants();
        if (want - self.logged).abs() < LOGGED_STEP && !has_ended {
            return;
        }
        self.logged = if has_ended { 0.0 } else { want };
        spdlog::info!("departures: the share that leaves has changed", kv: {
            service = service.as_str(), want, granted_tokens,
            offered_tokens = self.departures.offered_tokens(), home_fill = room.fill,
            wanting_peers = self.wanting_peers.len()
        });
    }
}
