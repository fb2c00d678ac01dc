//! What is known of the endpoints: their entries in the store, and how they behave.
//!
//! An endpoint that failed is left out until it answers a question for its state;
//! one that fails again soon after is left out for longer. With few copies of each
//! layer, leaving a sound endpoint out for a fixed long time would open more gaps
//! than it avoids. See `docs/design/operators-platform.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange, ServiceName};

use serde::{Deserialize, Serialize};

use crate::pipeline::{CardState, LoadBook, PipelineSpec, StageOffer};

/// How long an endpoint at which requests stall is left out at least, also if it
/// answers: the fault may lie between it and others.
const MIN_HOLD: Duration = Duration::from_millis(800);
/// The pause between two checks of a suspect.
const CHECK_PAUSE: Duration = Duration::from_millis(250);
/// The longest time that repeated failures leave an endpoint out.
const MAX_HOLD: Duration = Duration::from_secs(6);
/// Failures further apart than this do not add up.
const STRIKE_MEMORY: Duration = Duration::from_secs(10);
/// How long an endpoint that refused a request is left out at first; doubled with
/// each further refusal.
const REFUSAL_HOLD: Duration = Duration::from_millis(150);
/// The longest time that refusals leave an endpoint out.
const MAX_REFUSAL_HOLD: Duration = Duration::from_secs(4);
/// Refusals further apart than this do not add up.
const REFUSAL_MEMORY: Duration = Duration::from_secs(6);
/// The refusals in a row, each with memory to spare, after which an endpoint counts
/// as leaving: one that drains says so in the store, but the store may be out of reach.
const REFUSALS_UNTIL_LEAVING: u32 = 3;
/// The slowdown above which an endpoint is asked again how it stands.
const SLOW: f64 = 1.5;
/// The slowdown above which another card shall hold the layers too; a stage then takes
/// longer than the rest of its path.
const TOO_SLOW: f64 = 3.0;
/// How long an entry in the store can be behind what its endpoint says: a heartbeat on
/// its way and the pause between two watches.
const ENTRY_LAG: Duration = Duration::from_millis(1_000);
/// How much newer what a peer heard must be than what was heard directly.
const HEARSAY_SLACK: Duration = Duration::from_millis(50);
/// The checks that a suspect fails until its layers count as lost.
const CHECKS_UNTIL_LOST: u32 = 2;

/// An endpoint as it stands in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EndpointRecord {
    /// Its id, the name of its object.
    pub endpoint: EndpointId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests, orders and questions.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is about to leave and takes no new requests.
    pub is_leaving: bool,
    /// The requests that it runs at once.
    pub slots: u32,
    /// What it says of its layers.
    pub state: EndpointReport,
}

/// What an endpoint says of its layers and its load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointReport {
    /// The layers that it can run now; none if it holds none.
    pub layers: Option<LayerRange>,
    /// The kind of its card.
    pub card: Option<Arc<str>>,
    /// Whether an order is being carried out.
    pub is_moving: bool,
    /// The orders that it has begun since its start; entries in the store do not tell,
    /// so there it stays as the last report or answer to an order left it.
    pub orders_begun: u64,
    /// The Unix time of its start, in ms; a new one means that it holds nothing of before.
    pub started_unix_ms: Option<u64>,
    /// How much slower than its card it runs; 1 if it is sound.
    pub slowdown: f64,
    /// The requests that wait.
    pub queued: u32,
    /// The requests that run.
    pub active: u32,
    /// The requests that hang here since an endpoint of their path does not answer:
    /// the request's id and the address of that endpoint.
    pub stalled: Vec<(Arc<str>, SocketAddr)>,
}

/// What a peer heard from an endpoint about its layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Hearsay {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that it can run; none if it holds none.
    pub layers: Option<LayerRange>,
    /// Whether an order is being carried out.
    pub is_moving: bool,
    /// The orders that it has begun since its start.
    pub orders_begun: u64,
    /// The Unix time of its start, in ms.
    pub started_unix_ms: Option<u64>,
    /// How much slower than its card it runs; 1 if it is sound.
    pub slowdown: f64,
    /// When the peer heard it, on this process's clock.
    pub heard_at: Instant,
}

/// What changed with an endpoint's entry, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointNews {
    /// It is new.
    Joined,
    /// It has restarted under its id.
    Restarted,
    /// It is about to leave.
    Leaves,
    /// It holds other layers.
    Layers,
    /// Only its heartbeat.
    Renewed,
}

#[derive(Clone, Debug)]
struct Known {
    record: EndpointRecord,
    joined_at: Instant,
    /// When it last said itself how it stands, in a report or in answer to an order.
    heard_at: Option<Instant>,
    renewed_at: Instant,
    suspect: Option<Suspicion>,
    refusals: Option<Refusals>,
    /// Whether it said itself that it leaves or is another one.
    is_refusing: bool,
    /// When its entry was found missing right after an outage of the store.
    lapsed_at: Option<Instant>,
    /// The layers that it was ordered to hold, and until when that is waited for.
    ordered: Option<(LayerRange, Instant)>,
}

#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Instant,
    /// Until when it is left out even if it answers.
    hold_until: Instant,
    next_check_at: Instant,
    strikes: u32,
    failed_checks: u32,
    has_answered: bool,
}

#[derive(Clone, Copy, Debug)]
struct Refusals {
    last_at: Instant,
    until: Instant,
    /// Those in a row that came although there was memory to spare.
    unexplained: u32,
    count: u32,
}

/// Why an endpoint is left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspect {
    /// A connection to it broke, which a sound endpoint does too; it is asked at once.
    ConnectionBroke,
    /// It cannot be connected to or does not answer.
    NoAnswer,
    /// Another endpoint says that requests hang at this one.
    RequestsStall,
    /// It does not hold the layers that it was thought to hold; it is asked at once.
    OtherLayers,
}

impl Suspect {
    /// Returns the reason in words, for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBroke => "the connection broke",
            Self::NoAnswer => "no answer",
            Self::RequestsStall => "requests stall there",
            Self::OtherLayers => "it holds other layers",
        }
    }
}

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
        known.lapsed_at = None;
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
    /// Right after an outage of the store an entry can be missing although its
    /// endpoint lives; such a one stays usable until [`Self::drop_lapsed`].
    pub fn remove(&mut self, endpoint: &EndpointId, after_outage: bool, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else {
            return false;
        };
        if after_outage && !known.record.is_leaving {
            known.lapsed_at.get_or_insert(now);
            return false;
        }
        self.known.remove(endpoint).is_some()
    }

    /// Removes the endpoints whose entries have been missing for `grace`.
    pub fn drop_lapsed(&mut self, grace: Duration, now: Instant) -> Vec<EndpointId> {
        let is_gone = |known: &Known| {
            known
                .lapsed_at
                .is_some_and(|at| now.saturating_duration_since(at) >= grace)
        };
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
        load: &LoadBook,
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
                    && known.lapsed_at.is_none(),
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

impl Known {
    fn new(record: EndpointRecord, now: Instant) -> Self {
        Self {
            record,
            joined_at: now,
            heard_at: None,
            renewed_at: now,
            suspect: None,
            refusals: None,
            is_refusing: false,
            lapsed_at: None,
            ordered: None,
        }
    }

    fn settle_order(&mut self, now: Instant) {
        let state = &self.record.state;
        let is_settled = |(layers, until): &(LayerRange, Instant)| {
            now >= *until || state.layers == Some(*layers) && !state.is_moving
        };
        if self.ordered.as_ref().is_some_and(is_settled) {
            self.ordered = None;
        }
    }

    fn suspect(&mut self, why: Suspect, now: Instant) -> bool {
        let is_news = !self.is_suspect(now);
        let strikes = match self.suspect {
            Some(old) if now.saturating_duration_since(old.since) < STRIKE_MEMORY => {
                old.strikes + u32::from(is_news)
            }
            _ => 1,
        };
        let hold = match why {
            Suspect::ConnectionBroke | Suspect::NoAnswer | Suspect::OtherLayers => Duration::ZERO,
            Suspect::RequestsStall => (MIN_HOLD * 2u32.saturating_pow(strikes - 1)).min(MAX_HOLD),
        };
        if is_news {
            self.suspect = Some(Suspicion {
                since: now,
                hold_until: now + hold,
                next_check_at: now,
                strikes,
                failed_checks: 0,
                has_answered: false,
            });
        }
        is_news
    }

    fn note_refusal(&mut self, has_room: bool, now: Instant) {
        let old = self
            .refusals
            .filter(|old| now.saturating_duration_since(old.last_at) < REFUSAL_MEMORY);
        // Several requests that were under way together are refused for one reason.
        if old.is_some_and(|old| now < old.until) {
            return;
        }
        let count = old.map_or(0, |old| old.count) + 1;
        let before = old.map_or(0, |old| old.unexplained);
        let hold = (REFUSAL_HOLD * 2u32.saturating_pow(count - 1)).min(MAX_REFUSAL_HOLD);
        self.refusals = Some(Refusals {
            last_at: now,
            until: now + hold,
            unexplained: if has_room { before + 1 } else { 0 },
            count,
        });
    }

    fn seems_leaving(&self, now: Instant) -> bool {
        self.refusals.is_some_and(|refusals| {
            refusals.unexplained >= REFUSALS_UNTIL_LEAVING
                && now.saturating_duration_since(refusals.last_at) < REFUSAL_MEMORY
        })
    }

    fn is_suspect(&self, now: Instant) -> bool {
        self.suspect
            .is_some_and(|suspect| now < suspect.hold_until || !suspect.has_answered)
    }

    fn is_lost(&self) -> bool {
        self.suspect
            .is_some_and(|s| !s.has_answered && s.failed_checks >= CHECKS_UNTIL_LOST)
    }

    fn is_usable(&self, now: Instant) -> bool {
        !self.record.is_leaving
            && !self.is_refusing
            && !self.is_suspect(now)
            && self.refusals.is_none_or(|refusals| now >= refusals.until)
    }
}
