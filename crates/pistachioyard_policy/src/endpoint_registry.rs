//! Tracks the endpoints: their records in the store, their reports and their health.
//!
//! A failed endpoint is ejected until it answers a probe for its state. If requests keep
//! stalling at it, each ejection lasts longer than the last. A long ejection from the start
//! would do more harm than good: each layer has few replicas, so some layers would be left
//! without a usable endpoint. See `docs/design/operators-platform.md`.

mod address_index;
mod answers;
mod deaths;
mod deletion;
mod deletions;
mod digest;
mod limits;
mod notices;
mod reach;
mod record;
mod start_up;
mod tracked;
mod unnamed;
mod update;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{EndpointId, LayerRange, ServiceName};

use crate::pipeline::{CardState, LoadTracker, PipelineSpec, StageOffer};
use crate::request_limits::RequestLimits;
use address_index::AddressIndex;
pub use deaths::ToldProbe;
use deletions::Deletions;
pub use notices::EndpointRun;
use notices::RunNotices;
pub use record::{EndpointChange, EndpointRecord, EndpointReport, GossipReport, RunState};
use tracked::TrackedEndpoint;
pub use tracked::{ProbeResult, SuspectReason};

/// The slowdown above which an endpoint is asked for a new report.
const RECHECK_SLOWDOWN: f64 = 1.5;
/// The slowdown above which the layers need a replica on another card, because the stage
/// takes longer than the rest of its path.
const REPLACE_SLOWDOWN: f64 = 3.0;
/// How much newer a peer's report must be than the last direct report to replace it.
const MIN_GOSSIP_LEAD: Duration = Duration::from_millis(50);

/// Holds the endpoints of all services.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    by_id: BTreeMap<EndpointId, TrackedEndpoint>,
    /// The services that the configuration names; all if there is no such list.
    named: Option<BTreeSet<ServiceName>>,
    /// The records of other services.
    set_aside: BTreeMap<EndpointId, EndpointRecord>,
    addresses: AddressIndex,
    deletions: Deletions,
    notices: RunNotices,
    limits: RequestLimits,
    /// The digest of the records; none if they have changed since it was computed.
    digest: Option<u64>,
}

impl EndpointRegistry {
    /// Returns the records of all known endpoints.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.by_id.values().map(|tracked| &tracked.record)
    }

    /// Returns the number of known endpoints.
    pub fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the ids of all known endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.by_id.keys()
    }

    /// Returns an endpoint's record.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.by_id.get(endpoint).map(|tracked| &tracked.record)
    }

    /// Returns the record of the endpoint at an address.
    pub fn by_address(&self, address: SocketAddr) -> Option<&EndpointRecord> {
        self.addresses.at(address).find_map(|at| self.get(at))
    }

    /// Returns the time since an endpoint's record was last read from the store.
    pub fn age(&self, endpoint: &EndpointId, now: Instant) -> Option<Duration> {
        let tracked = self.by_id.get(endpoint)?;
        Some(now.saturating_duration_since(tracked.renewed_at))
    }

    /// Ejects an endpoint after a failure; returns whether it was not suspect before.
    pub fn mark_suspect(
        &mut self,
        endpoint: &EndpointId,
        why: SuspectReason,
        now: Instant,
    ) -> bool {
        let tracked = self.by_id.get_mut(endpoint);
        tracked.is_some_and(|tracked| tracked.mark_suspect(why, now))
    }

    /// Returns what is known of a run to which a request was sent that is not answered.
    pub fn state_of_run(&self, run: &EndpointRun, now: Instant) -> RunState {
        let tracked = self.by_id.get(&run.endpoint);
        match tracked {
            Some(tracked) if tracked.record.run() != *run => RunState::Ended,
            Some(tracked) if tracked.is_lost(now) => RunState::Ended,
            Some(tracked) if tracked.is_suspect(now) => RunState::Silent,
            Some(_) => RunState::Sound,
            None => RunState::Ended,
        }
    }

    /// Returns the suspect endpoints that are due for a probe.
    pub fn due_probes(&self, now: Instant) -> Vec<EndpointRecord> {
        let due = self.by_id.values().filter(|tracked| {
            let suspect = tracked.suspect.filter(|suspect| !suspect.has_answered);
            suspect.is_some_and(|suspect| now >= suspect.next_probe_at)
        });
        due.map(|tracked| tracked.record.clone()).collect()
    }

    /// Records the result of probing a suspect endpoint; returns whether it is the first refused
    /// connection, here or at a peer.
    pub fn note_probe(&mut self, endpoint: &EndpointId, result: ProbeResult, now: Instant) -> bool {
        let tracked = self.by_id.get_mut(endpoint);
        let suspect = tracked.and_then(|tracked| tracked.suspect.as_mut());
        suspect.is_some_and(|suspect| suspect.note_probe(result, now))
    }

    /// Records an order that an endpoint has begun and is expected to complete by `until`.
    pub fn note_order(
        &mut self,
        endpoint: &EndpointId,
        layers: LayerRange,
        until: Instant,
        now: Instant,
    ) {
        if let Some(tracked) = self.by_id.get_mut(endpoint) {
            tracked.pending_order = Some((layers, until));
            let state = &mut tracked.record.state;
            state.orders_begun = state.orders_begun.saturating_add(1);
            state.is_moving = true;
            // Layers that the order unloads get no new requests from now on.
            state.layers = state.layers.and_then(|held| intersection(held, layers));
            tracked.reported_at = Some(now);
        }
    }

    /// Returns the endpoints that reported directly within the last `span`, with the age of
    /// the report, so that peers learn what the store does not show yet.
    pub fn reported_within(
        &self,
        span: Duration,
        now: Instant,
    ) -> Vec<(&EndpointRecord, Duration)> {
        let tracked = self.by_id.values();
        let reported = tracked.filter_map(|tracked| {
            let age = now.saturating_duration_since(tracked.reported_at?);
            (age < span).then_some((&tracked.record, age))
        });
        reported.collect()
    }

    /// Applies a report that a peer passed on, unless the known state is newer; returns
    /// whether the state changed.
    pub fn apply_gossip(&mut self, report: &GossipReport) -> bool {
        let Some(tracked) = self.by_id.get_mut(&report.endpoint) else {
            return false;
        };
        let state = &mut tracked.record.state;
        let is_newer = tracked.renewed_at < report.heard_at
            && tracked
                .reported_at
                .is_none_or(|at| at + MIN_GOSSIP_LEAD < report.heard_at);
        if state.started_unix_ms != report.started_unix_ms
            || state.orders_begun > report.orders_begun
            || !is_newer
        {
            return false;
        }
        tracked.reported_at = Some(report.heard_at);
        let is_changed = state.layers != report.layers
            || state.is_moving != report.is_moving
            || (state.slowdown - report.slowdown).abs() > 0.2;
        state.layers = report.layers;
        state.orders_begun = report.orders_begun;
        state.is_moving = report.is_moving;
        state.slowdown = report.slowdown;
        is_changed
    }

    /// Returns those of `endpoints` that have not reported directly within the last `span`.
    pub fn unreported_within<'a>(
        &'a self,
        endpoints: impl Iterator<Item = &'a EndpointId>,
        span: Duration,
        now: Instant,
    ) -> Vec<EndpointRecord> {
        let tracked = endpoints.filter_map(|endpoint| self.by_id.get(endpoint));
        let is_stale = |at: Instant| now.saturating_duration_since(at) >= span;
        let unreported = tracked.filter(|tracked| tracked.reported_at.is_none_or(is_stale));
        unreported.map(|tracked| tracked.record.clone()).collect()
    }

    /// Returns the endpoints whose last known slowdown is above the recheck threshold.
    pub fn slow(&self) -> impl Iterator<Item = &EndpointId> {
        let slow = self
            .by_id
            .iter()
            .filter(|(_, tracked)| tracked.record.state.slowdown > RECHECK_SLOWDOWN);
        slow.map(|(endpoint, _)| endpoint)
    }

    /// Returns whether an endpoint may get new requests.
    pub fn is_usable(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.by_id
            .get(endpoint)
            .is_some_and(|tracked| self.takes_requests(tracked, now))
    }

    fn takes_requests(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        let run = tracked.record.run();
        tracked.is_usable(now)
            && !self.notices.is_leaving(&run)
            && !self.notices.is_paused(&run, now)
    }

    /// Returns the endpoints of a service that may get new requests.
    pub fn usable(&self, service: &ServiceName, now: Instant) -> Vec<&EndpointRecord> {
        let of_service = self.by_id.values().filter(|t| t.record.service == *service);
        let usable = of_service.filter(|tracked| self.takes_requests(tracked, now));
        usable.map(|tracked| &tracked.record).collect()
    }

    /// Returns the stages that a model's usable endpoints offer for paths.
    pub fn offers(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
        load: &LoadTracker,
        now: Instant,
    ) -> Vec<StageOffer> {
        let of_service = self.by_id.values().filter(|t| t.record.service == *service);
        let offers = of_service.filter_map(|tracked| {
            let record = &tracked.record;
            let is_usable = self.takes_requests(tracked, now);
            // Other endpoints reach it, so it may run later layers.
            if !is_usable && !self.is_only_out_of_reach(tracked, now) {
                return None;
            }
            let state = &record.state;
            Some(StageOffer {
                endpoint: record.endpoint.clone(),
                address: record.address,
                data_centre: record.data_centre.clone(),
                layers: state.layers?,
                card: *spec.cards.get(state.card.as_ref()?)?,
                slowdown: state.slowdown.max(1.0),
                may_start: is_usable && self.has_room(record, now),
                requests: load.requests(&record.endpoint),
                token_layers: load.token_layers(&record.endpoint),
                reading: load.reading().token_layers(&record.endpoint),
                reading_untold: load.reading().untold(&record.endpoint),
            })
        });
        offers.collect()
    }

    /// Returns the cards of a model's endpoints, without those that are leaving, lost or too
    /// slow.
    pub fn cards(
        &self,
        service: &ServiceName,
        spec: &PipelineSpec,
        now: Instant,
    ) -> Vec<CardState> {
        let of_service = self.by_id.values().filter(|t| t.record.service == *service);
        let cards = of_service.filter_map(|tracked| {
            let record = &tracked.record;
            let is_lost = record.is_leaving
                || self.notices.is_leaving(&record.run())
                || tracked.is_unavailable
                || tracked.seems_leaving(now)
                || record.state.slowdown > REPLACE_SLOWDOWN
                || tracked.is_lost(now);
            let card = *spec.cards.get(record.state.card.as_ref()?)?;
            let pending_order = tracked.pending_order.filter(|(_, until)| now < *until);
            let is_limited = self.limits.limit_of(&record.run()).is_some();
            (!is_lost).then(|| CardState {
                endpoint: record.endpoint.clone(),
                data_centre: record.data_centre.clone(),
                card,
                held: pending_order
                    .map(|(layers, _)| layers)
                    .or(record.state.layers)
                    // The model may have had more layers when the endpoint loaded them.
                    .filter(|held| held.end() <= spec.layers),
                takes_orders: pending_order.is_none()
                    && !record.state.is_moving
                    && !tracked.is_suspect(now)
                    && tracked.grace_until.is_none(),
                is_loading: pending_order.is_some() || record.state.is_moving,
                is_limited,
            })
        });
        cards.collect()
    }

    /// Returns the number of known endpoints and the number of usable ones.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let tracked = self.by_id.values();
        let usable = tracked.filter(|tracked| self.takes_requests(tracked, now));
        (self.by_id.len(), usable.count())
    }
}

/// Returns the layers that both ranges contain, if any.
fn intersection(a: LayerRange, b: LayerRange) -> Option<LayerRange> {
    LayerRange::new(a.first().max(b.first()), a.end().min(b.end())).ok()
}
