//! The view of one endpoint.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pistachioyard_wire::{
    BootId, DataCentre, EndpointId, EndpointMark, EndpointMarkKind, EndpointReport, EntryId,
    HostKind, HostRecord, HostState, Region, ServiceName,
};

use super::load::Load;
use super::marks::{DeadMark, Marks, MovingMark};
use super::{UNLISTED_GRACE_PERIOD, millis};

/// The maximum age of a report that shows an unlisted endpoint to be alive.
const REPORTING_AGE: Duration = Duration::from_secs(5);
/// The maximum age of a dead mark that is gossiped to peers.
const DEAD_GOSSIP_AGE: Duration = Duration::from_secs(3);
/// The maximum age of a leaving mark that is gossiped to peers.
const LEAVING_GOSSIP_AGE: Duration = Duration::from_secs(30);
/// The maximum age of a moving mark that is gossiped to peers.
const MOVING_GOSSIP_AGE: Duration = Duration::from_millis(1_500);
/// The maximum number of earlier runs that are remembered to drop their late reports.
const MAX_EARLIER_RUNS: usize = 8;

/// The view of one endpoint, from the host list, reports and marks.
#[derive(Debug)]
pub struct EndpointView {
    host: HostRecord,
    unlisted_since: Option<Instant>,
    report: Option<EndpointReport>,
    measured_at: Option<Instant>,
    earlier_runs: Vec<BootId>,
    marks: Marks,
    load: Load,
}

impl EndpointView {
    /// Creates the view of an endpoint that the host list names.
    pub(super) fn new(host: &HostRecord, now: Instant) -> Self {
        let mut view = Self {
            host: host.clone(),
            unlisted_since: None,
            report: None,
            measured_at: None,
            earlier_runs: Vec::new(),
            marks: Marks::default(),
            load: Load::default(),
        };
        if host.state == HostState::Leaving {
            view.marks.note_leaving(None, now);
        }
        view
    }

    /// Returns the endpoint's name.
    pub fn id(&self) -> &EndpointId {
        &self.host.endpoint
    }

    /// Returns the address that the endpoint listens on.
    pub fn address(&self) -> SocketAddr {
        self.host.address
    }

    /// Returns the endpoint's data centre.
    pub fn data_centre(&self) -> &DataCentre {
        &self.host.data_centre
    }

    /// Returns the region of the endpoint's data centre.
    pub fn region(&self) -> &Region {
        &self.host.region
    }

    /// Returns the kind of host: an engine or a plain service.
    pub fn kind(&self) -> &HostKind {
        &self.host.kind
    }

    /// Returns whether the endpoint refuses orders with an outdated fencing token.
    pub fn checks_fence(&self) -> bool {
        self.host.checks_fence
    }

    /// Returns the service that the endpoint belongs to, if it is a plain service.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.host.kind {
            HostKind::Service { service } => Some(service),
            HostKind::Engine { .. } => None,
        }
    }

    /// Returns the newest report.
    pub fn report(&self) -> Option<&EndpointReport> {
        self.report.as_ref()
    }

    /// Returns the time at which the newest report was measured.
    pub fn measured_at(&self) -> Option<Instant> {
        self.measured_at
    }

    /// Returns the id of the newest known run.
    pub fn boot(&self) -> Option<BootId> {
        self.report.as_ref().map(|report| report.boot)
    }

    /// Returns the number of this entry's streams in flight on the endpoint.
    pub fn own_in_flight(&self) -> u32 {
        self.load.own_streams()
    }

    /// Returns the number of streams that this entry has started on the endpoint,
    /// including ended ones.
    pub fn own_started(&self) -> u64 {
        self.load.started()
    }

    /// Returns the number of the peers' streams in flight on the endpoint.
    pub fn peers_in_flight(&self) -> u32 {
        self.load.peer_streams()
    }

    /// Estimates the current streams on the endpoint, running and waiting.
    pub fn estimated_streams(&self) -> u32 {
        let reported = self.report.as_ref().zip(self.measured_at);
        self.load.estimate(reported.map(|(report, at)| {
            let streams = report.running.saturating_add(report.waiting);
            (streams, at)
        }))
    }

    /// Estimates the current streams on the endpoint, assuming that each of `peers`
    /// peers has recently started as many as this entry has.
    ///
    /// "Recently" is the time in which entries do not know of each other's streams.
    /// Without the assumption, entries that see the same free slots at the same time
    /// would all take all of them.
    pub fn contended_streams(&self, peers: u32, now: Instant) -> u32 {
        let growth = self.load.recent_growth(now);
        self.estimated_streams()
            .saturating_add(growth.saturating_mul(peers))
    }

    /// Returns whether the host list names the endpoint.
    pub fn is_listed(&self) -> bool {
        self.unlisted_since.is_none()
    }

    /// Returns whether the endpoint is leaving in its current run.
    ///
    /// While the host list shows the endpoint as leaving, a restarted process is leaving too.
    pub fn is_leaving(&self) -> bool {
        self.host.state == HostState::Leaving || self.marks.leaving_since(self.boot()).is_some()
    }

    /// Returns whether the endpoint is considered dead.
    pub fn is_dead(&self, now: Instant) -> bool {
        self.marks.dead(self.boot(), now).is_some()
    }

    /// Returns whether the endpoint is loading weights and cannot run yet.
    pub fn is_loading(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.loading)
    }

    /// Returns whether the endpoint refused a stream or failed to answer recently.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.marks.is_suspect(now)
    }

    /// Returns whether the placement controller is about to change what the endpoint
    /// holds.
    ///
    /// The mark expires unless it is repeated, so a controller that has stopped cannot
    /// keep an endpoint out of service.
    pub fn is_moving(&self, now: Instant) -> bool {
        self.marks.moving(now).is_some()
    }

    /// Returns whether the endpoint may get new work.
    pub fn is_usable(&self, now: Instant) -> bool {
        let present = self.is_listed() || self.is_unlisted_but_reporting(now);
        let out_of_service = self.is_loading() || self.is_moving(now);
        present && !self.is_leaving() && !self.is_dead(now) && !out_of_service
    }

    /// Returns whether the view is still needed.
    pub(super) fn is_kept(&self, now: Instant) -> bool {
        self.is_listed() || self.is_unlisted_but_reporting(now) || self.own_in_flight() > 0
    }

    fn is_unlisted_but_reporting(&self, now: Instant) -> bool {
        let within_grace_period = self
            .unlisted_since
            .is_some_and(|since| now.saturating_duration_since(since) < UNLISTED_GRACE_PERIOD);
        let reporting = self
            .measured_at
            .is_some_and(|at| now.saturating_duration_since(at) < REPORTING_AGE);
        within_grace_period && reporting
    }

    /// Applies the endpoint's record from the host list.
    pub(super) fn apply_host(&mut self, host: &HostRecord, now: Instant) {
        let was_leaving = self.host.state == HostState::Leaving;
        self.host = host.clone();
        self.unlisted_since = None;
        if host.state == HostState::Leaving && !was_leaving {
            self.marks.note_leaving(self.boot(), now);
        }
    }

    /// Records that the host list no longer names the endpoint.
    pub(super) fn note_unlisted(&mut self, now: Instant) {
        self.unlisted_since.get_or_insert(now);
    }

    /// Applies a report and returns whether it was applied.
    ///
    /// A report that is not newer than the known one or is from an earlier run is dropped.
    pub(super) fn apply_report(&mut self, report: EndpointReport, measured_at: Instant) -> bool {
        let stale = self.measured_at.is_some_and(|known| measured_at <= known);
        if stale || self.earlier_runs.contains(&report.boot) {
            return false;
        }
        let earlier = self.boot();
        if let Some(earlier) = earlier.filter(|boot| *boot != report.boot) {
            self.remember_run(earlier);
        }
        self.marks
            .note_report(report.boot, earlier.is_none(), measured_at);
        if report.draining {
            self.marks.note_leaving(Some(report.boot), measured_at);
        }
        self.load.note_report(measured_at);
        self.report = Some(report);
        self.measured_at = Some(measured_at);
        true
    }

    fn remember_run(&mut self, boot: BootId) {
        if self.earlier_runs.len() == MAX_EARLIER_RUNS {
            self.earlier_runs.remove(0);
        }
        self.earlier_runs.push(boot);
    }

    /// Applies a peer's mark, unless it is about an earlier run or a newer report refutes it.
    pub(super) fn apply_mark(&mut self, mark: &EndpointMark, now: Instant) {
        let age = Duration::from_millis(mark.age_ms);
        let Some(at) = now.checked_sub(age) else {
            return;
        };
        let newer_report = self.measured_at.is_some_and(|measured| at < measured);
        let other_run = mark.boot.is_some() && self.boot().is_some() && mark.boot != self.boot();
        if other_run && newer_report {
            return;
        }
        match mark.kind {
            EndpointMarkKind::Leaving if mark.boot.is_none() && newer_report => {}
            EndpointMarkKind::Leaving => {
                self.marks.note_leaving(mark.boot.or(self.boot()), at);
            }
            EndpointMarkKind::Moving => self.marks.note_moving(MovingMark { at, own: false }),
            EndpointMarkKind::Dead if newer_report => {}
            EndpointMarkKind::Dead => self.marks.note_dead(DeadMark {
                at,
                boot: mark.boot,
                own: false,
            }),
        }
    }

    /// Records that this entry could not reach the endpoint.
    pub(super) fn note_unreachable(&mut self, now: Instant) {
        self.marks.note_dead(DeadMark {
            at: now,
            boot: self.boot(),
            own: true,
        });
    }

    /// Records that what the endpoint holds is about to change.
    pub(super) fn note_moving(&mut self, now: Instant) {
        self.marks.note_moving(MovingMark { at: now, own: true });
    }

    /// Records that the endpoint refused a stream or failed to answer once.
    pub(super) fn note_suspect(&mut self, now: Instant) {
        self.marks.note_suspect(now);
    }

    /// Counts a started stream of this entry.
    pub(super) fn begin_stream(&mut self, now: Instant) {
        self.load.begin_stream(now);
    }

    /// Counts an ended stream of this entry.
    pub(super) fn end_stream(&mut self, now: Instant) {
        self.load.end_stream(self.measured_at, now);
    }

    /// Sets a peer's number of streams in flight.
    pub(super) fn set_peer_in_flight(&mut self, peer: &EntryId, count: u32, now: Instant) {
        self.load.set_peer(peer, count, now);
    }

    /// Removes a peer's streams in flight.
    pub(super) fn forget_peer(&mut self, peer: &EntryId) {
        self.load.forget_peer(peer);
    }

    /// Returns the endpoint's marks that are recent enough to be gossiped to peers.
    pub(super) fn marks(&self, now: Instant) -> Vec<EndpointMark> {
        let boot = self.boot();
        let mark = |boot, kind, at: Instant, limit: Duration| {
            let age = now.saturating_duration_since(at);
            (age < limit).then(|| EndpointMark {
                endpoint: self.id().clone(),
                boot,
                kind,
                age_ms: millis(age),
            })
        };
        let leaving = self
            .marks
            .leaving_since(boot)
            .and_then(|at| mark(boot, EndpointMarkKind::Leaving, at, LEAVING_GOSSIP_AGE));
        let dead = self
            .marks
            .dead(boot, now)
            .and_then(|dead| mark(dead.boot, EndpointMarkKind::Dead, dead.at, DEAD_GOSSIP_AGE));
        let moving = self
            .marks
            .moving(now)
            .filter(|moving| moving.own)
            .and_then(|moving| mark(boot, EndpointMarkKind::Moving, moving.at, MOVING_GOSSIP_AGE));
        leaving.into_iter().chain(dead).chain(moving).collect()
    }
}
