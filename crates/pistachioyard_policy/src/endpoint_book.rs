//! What is known of the endpoints: their entries in the store, and how they behave.
//!
//! An endpoint that failed is left out until it answers a question for its state;
//! one that fails again soon after is left out for longer. With few copies of each
//! layer, leaving a sound endpoint out for a fixed long time would open more gaps
//! than it avoids. See `docs/design/operators-platform.md`.

mod known;
mod record;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointId, LayerRange, ServiceName};

use crate::pipeline::{CardState, LoadTracker, PipelineSpec, StageOffer};
pub use known::Suspect;
use known::{CHECK_PAUSE, Known};
pub use record::{EndpointNews, EndpointRecord, EndpointReport, Hearsay};

/// The slowdown above which an endpoint is asked again how it stands.
const SLOW: f64 = 1.5;
/// The slowdown above which another card shall hold the layers too; a stage then takes
/// longer than the rest of its path.
const TOO_SLOW: f64 = 3.0;
/// How long an entry in the store can be behind what its endpoint says: a heartbeat on
/// its way and the pause between two watches.
const ENTRY_LAG: Duration = Duration::from_millis(1_000);
/// How long a failure counts for the streams that run at an endpoint; longer than their
/// callers wait.
const SILENT_SPAN: Duration = Duration::from_secs(3);
/// How much newer what a peer heard must be than what was heard directly.
const HEARSAY_SLACK: Duration = Duration::from_millis(50);

/// The endpoints of all services.
#[derive(Clone, Debug, Default)]
pub struct EndpointBook {
    known: BTreeMap<EndpointId, Known>,
}

impl EndpointBook {
    /// Takes in an entry of the store.
    pub fn apply(&mut self, record: EndpointRecord, now: Instant) -> EndpointNews {
        // An address that was given to another endpoint says that the one before is gone.
        self.known.retain(|endpoint, known| {
            known.record.address != record.address || *endpoint == record.endpoint
        });
        let Some(known) = self.known.get_mut(&record.endpoint) else {
            let known = Known::new(record, now);
            self.known.insert(known.record.endpoint.clone(), known);
            return EndpointNews::Joined;
        };
        known.renewed_at = now;
        known.lapsed_until = None;
        let old = std::mem::replace(&mut known.record, record);
        let new = &known.record;
        if old.state.started_unix_ms != new.state.started_unix_ms || old.address != new.address {
            *known = Known::new(known.record.clone(), now);
            return EndpointNews::Restarted;
        }
        let state = &mut known.record.state;
        state.orders_begun = old.state.orders_begun;
        state.slowdown = old.state.slowdown;
        // Entries lag behind what the endpoint itself has said in the meantime.
        let is_heard = known
            .heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < ENTRY_LAG);
        if is_heard && state.layers.is_none() && !old.state.is_moving {
            state.layers = old.state.layers;
        }
        known.settle_order(now);
        match () {
            () if known.record.is_leaving && !old.is_leaving => EndpointNews::Leaves,
            () if known.record.state.layers != old.state.layers => EndpointNews::Layers,
            () => EndpointNews::Renewed,
        }
    }

    /// Takes in an endpoint's own report.
    pub fn apply_report(&mut self, endpoint: &EndpointId, report: EndpointReport, now: Instant) {
        let Some(known) = self.known.get_mut(endpoint) else {
            return;
        };
        let state = &mut known.record.state;
        let is_restarted = state.started_unix_ms != report.started_unix_ms;
        if is_restarted || state.orders_begun <= report.orders_begun {
            let card = report.card.clone().or_else(|| state.card.clone());
            *state = EndpointReport { card, ..report };
            known.heard_at = Some(now);
            if is_restarted {
                known.ordered = None;
            }
            known.settle_order(now);
        }
    }

    /// Removes an endpoint whose entry is gone.
    ///
    /// Right after an outage of the store an entry can be missing although its endpoint
    /// lives. Such a one stays usable until `kept_until`, which counts from the end of
    /// the outage and not from when the entry was missed: it may also have left since.
    pub fn remove(&mut self, endpoint: &EndpointId, kept_until: Option<Instant>) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else {
            return false;
        };
        match kept_until {
            Some(until) if !known.record.is_leaving => {
                known.lapsed_until.get_or_insert(until);
                false
            }
            Some(_) | None => self.known.remove(endpoint).is_some(),
        }
    }

    /// Removes the endpoints whose entries were not back in time after an outage.
    pub fn drop_lapsed(&mut self, now: Instant) -> Vec<EndpointId> {
        let is_gone = |known: &Known| known.lapsed_until.is_some_and(|until| now >= until);
        let gone = self.known.extract_if(.., |_, known| is_gone(known));
        gone.map(|(endpoint, _)| endpoint).collect()
    }

    /// Lists the entries of all endpoints that are known.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// Lists all endpoints that are known.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.known.keys()
    }

    /// Finds an endpoint's entry.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.known.get(endpoint).map(|known| &known.record)
    }

    /// Finds the endpoint at an address.
    pub fn at(&self, address: SocketAddr) -> Option<&EndpointRecord> {
        let records = self.known.values().map(|known| &known.record);
        records.into_iter().find(|record| record.address == address)
    }

    /// Returns how old the knowledge of an endpoint is.
    pub fn age(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        let known = self.known.get(endpoint)?;
        Some(now.saturating_duration_since(known.renewed_at))
    }

    /// Leaves an endpoint out since it failed; tells whether that is news.
    pub fn suspect(&mut self, endpoint: &EndpointId, why: Suspect, now: Instant) -> bool {
        let known = self.known.get_mut(endpoint);
        known.is_some_and(|known| known.suspect(why, now))
    }

    /// Tells whether an endpoint failed and has not answered since, so that what runs
    /// there will not go on.
    pub fn is_silent(&self, endpoint: &EndpointId, now: Instant) -> bool {
        let suspect = self.known.get(endpoint).and_then(|known| known.suspect);
        suspect.is_some_and(|suspect| {
            !suspect.has_answered && now.saturating_duration_since(suspect.since) < SILENT_SPAN
        })
    }

    /// Lists the suspects that are due to be asked for their state.
    pub fn due_checks(&self, now: Instant) -> Vec<EndpointRecord> {
        let due = self.known.values().filter(|known| {
            let suspect = known.suspect.filter(|suspect| !suspect.has_answered);
            suspect.is_some_and(|suspect| now >= suspect.next_check_at)
        });
        due.map(|known| known.record.clone()).collect()
    }

    /// Notes what a check of a suspect brought.
    pub fn note_check(&mut self, endpoint: &EndpointId, answered: bool, now: Instant) {
        let known = self.known.get_mut(endpoint);
        if let Some(suspect) = known.and_then(|known| known.suspect.as_mut()) {
            suspect.has_answered = answered;
            suspect.failed_checks += u32::from(!answered);
            suspect.next_check_at = now + CHECK_PAUSE;
        }
    }

    /// Leaves an endpoint out for a while since it refused a request.
    ///
    /// `has_room` tells whether by all that is known it had memory for the request.
    pub fn note_refusal(&mut self, endpoint: &EndpointId, has_room: bool, now: Instant) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.note_refusal(has_room, now);
        }
    }

    /// Leaves an endpoint out until it restarts since it says that it leaves.
    pub fn note_refusing(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.is_refusing = true;
        }
    }

    /// Notes an order that an endpoint has begun and is expected to end by `until`.
    pub fn note_order(
        &mut self,
        endpoint: &EndpointId,
        layers: LayerRange,
        until: Instant,
        now: Instant,
    ) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.ordered = Some((layers, until));
            let state = &mut known.record.state;
            state.orders_begun += 1;
            state.is_moving = true;
            // What is given up takes nothing new from now on.
            state.layers = state.layers.and_then(|held| common(held, layers));
            known.heard_at = Some(now);
        }
    }

    /// Lists the endpoints that said themselves how they stand within the last `span`,
    /// so that peers can be told what the store does not show yet.
    pub fn heard_within(&self, span: Duration, now: Instant) -> Vec<(&EndpointRecord, Duration)> {
        let known = self.known.values();
        let heard = known.filter_map(|known| {
            let age = now.saturating_duration_since(known.heard_at?);
            (age < span).then_some((&known.record, age))
        });
        heard.collect()
    }

    /// Takes in what a peer heard from an endpoint, unless newer is known.
    pub fn apply_hearsay(&mut self, heard: &Hearsay) -> bool {
        let Some(known) = self.known.get_mut(&heard.endpoint) else {
            return false;
        };
        let state = &mut known.record.state;
        let is_newer = known.renewed_at < heard.heard_at
            && known
                .heard_at
                .is_none_or(|at| at + HEARSAY_SLACK < heard.heard_at);
        if state.started_unix_ms != heard.started_unix_ms
            || state.orders_begun > heard.orders_begun
            || !is_newer
        {
            return false;
        }
        known.heard_at = Some(heard.heard_at);
        let is_news = state.layers != heard.layers
            || state.is_moving != heard.is_moving
            || (state.slowdown - heard.slowdown).abs() > 0.2;
        state.layers = heard.layers;
        state.orders_begun = heard.orders_begun;
        state.is_moving = heard.is_moving;
        state.slowdown = heard.slowdown;
        is_news
    }

    /// Lists the endpoints of which nothing was heard for `span`.
    pub fn unheard<'a>(
        &'a self,
        endpoints: impl Iterator<Item = &'a EndpointId>,
        span: Duration,
        now: Instant,
    ) -> Vec<EndpointRecord> {
        let known = endpoints.filter_map(|endpoint| self.known.get(endpoint));
        let is_old = |at: Instant| now.saturating_duration_since(at) >= span;
        let unheard = known.filter(|known| known.heard_at.is_none_or(is_old));
        unheard.map(|known| known.record.clone()).collect()
    }

    /// Lists the endpoints that run slowly by what they said last.
    pub fn slow(&self) -> impl Iterator<Item = &EndpointId> {
        let slow = self
            .known
            .iter()
            .filter(|(_, known)| known.record.state.slowdown > SLOW);
        slow.map(|(endpoint, _)| endpoint)
    }

    /// Tells whether an endpoint may get new requests.
    pub fn is_usable(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.known
            .get(endpoint)
            .is_some_and(|known| known.is_usable(now))
    }

    /// Lists the usable endpoints of a plain service.
    pub fn usable(&self, service: &ServiceName, now: Instant) -> Vec<&EndpointRecord> {
        let of_service = self.known.values().filter(|k| k.record.service == *service);
        let usable = of_service.filter(|known| known.is_usable(now));
        usable.map(|known| &known.record).collect()
    }

    /// Lists what the endpoints of a model offer to paths.
    pub fn offers(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
        load: &LoadTracker,
        now: Instant,
    ) -> Vec<StageOffer> {
        let offers = self.usable(service, now).into_iter().filter_map(|record| {
            let state = &record.state;
            Some(StageOffer {
                endpoint: record.endpoint.clone(),
                address: record.address,
                data_centre: record.data_centre.clone(),
                layers: state.layers?,
                card: *spec.cards.get(state.card.as_ref()?)?,
                slowdown: state.slowdown.max(1.0),
                requests: load.requests(&record.endpoint),
                token_layers: load.token_layers(&record.endpoint),
            })
        });
        offers.collect()
    }

    /// Lists the cards of a model's endpoints that can be counted on.
    pub fn cards(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
        now: Instant,
    ) -> Vec<CardState> {
        let of_service = self.known.values().filter(|k| k.record.service == *service);
        let cards = of_service.filter_map(|known| {
            let record = &known.record;
            let is_lost = record.is_leaving
                || known.is_refusing
                || known.seems_leaving(now)
                || record.state.slowdown > TOO_SLOW
                || known.is_lost();
            let card = *spec.cards.get(record.state.card.as_ref()?)?;
            let ordered = known.ordered.filter(|(_, until)| now < *until);
            (!is_lost).then(|| CardState {
                endpoint: record.endpoint.clone(),
                data_centre: record.data_centre.clone(),
                card,
                held: ordered.map(|(layers, _)| layers).or(record.state.layers),
                takes_orders: ordered.is_none()
                    && !record.state.is_moving
                    && !known.is_suspect(now)
                    && known.lapsed_until.is_none(),
                is_loading: ordered.is_some() || record.state.is_moving,
            })
        });
        cards.collect()
    }

    /// Tells whether endpoints of a service are still joining for the first time: none
    /// of them holds anything and the newest has been known for less than `settle`.
    ///
    /// A placement over the few that came first would cram the layers into them.
    pub fn is_gathering(&self, service: &ServiceName, settle: Duration, now: Instant) -> bool {
        let of_service = self.known.values().filter(|k| k.record.service == *service);
        let is_new = |known: &Known| now.saturating_duration_since(known.joined_at) < settle;
        let mut any_new = false;
        for known in of_service {
            if known.record.state.layers.is_some() || known.ordered.is_some() {
                return false;
            }
            any_new |= is_new(known);
        }
        any_new
    }

    /// Counts the endpoints that are known, and those that are usable.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let usable = self.known.values().filter(|known| known.is_usable(now));
        (self.known.len(), usable.count())
    }
}

/// Returns the layers that two ranges share, if any.
fn common(a: LayerRange, b: LayerRange) -> Option<LayerRange> {
    LayerRange::new(a.first().max(b.first()), a.end().min(b.end())).ok()
}
