//! An entry's view of the endpoints, merged from stale and conflicting sources.
//!
//! The host list names the endpoints and their addresses. Reports contain what the
//! endpoints hold and how loaded they are. Marks of this entry and its peers, which are
//! the other entries, exclude endpoints from new work. Leaving and dead marks apply to one
//! run of the endpoint's process, so that a restarted endpoint does not inherit them from
//! its previous run (`docs/design/fleet-view.md`).

mod endpoint_view;
mod links;
mod load;
mod marks;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::{
    DataCentre, EndpointId, EndpointMark, EndpointReport, EntryId, HostRecord, LoadRecord,
    ServiceName, StageRef,
};

pub use endpoint_view::EndpointView;
use links::Links;

/// The grace period for an endpoint that is missing from the host list but still
/// reports.
const UNLISTED_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// An entry's view of all endpoints.
///
/// Reports and marks of endpoints that the host list has not named yet are dropped,
/// because nothing can be sent to an endpoint without its address.
#[derive(Debug, Default)]
pub struct FleetView {
    endpoints: BTreeMap<EndpointId, EndpointView>,
    links: Links,
    peers: BTreeSet<EntryId>,
}

impl FleetView {
    /// Creates a view without endpoints.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the host list.
    ///
    /// An endpoint that is missing from the list stays usable for up to 30 s while it
    /// reports, because the list may be stale. An endpoint with streams of this entry
    /// in flight stays until they have ended, but gets no new ones.
    pub fn apply_hosts(&mut self, hosts: &[HostRecord], now: Instant) {
        let listed: BTreeSet<&EndpointId> = hosts.iter().map(|host| &host.endpoint).collect();
        for view in self.endpoints.values_mut() {
            if !listed.contains(view.id()) {
                view.note_unlisted(now);
            }
        }
        for host in hosts {
            match self.endpoints.get_mut(&host.endpoint) {
                Some(view) => view.apply_host(host, now),
                None => {
                    let view = EndpointView::new(host, now);
                    self.endpoints.insert(host.endpoint.clone(), view);
                }
            }
        }
        self.endpoints.retain(|_, view| view.is_kept(now));
    }

    /// Applies an endpoint's report, unless a newer one is known.
    ///
    /// Reports reach an entry from the endpoint itself and through peers. They may
    /// arrive out of order, and a report of an earlier run may arrive late.
    pub fn apply_report(&mut self, report: EndpointReport, measured_at: Instant) {
        let Some(view) = self.endpoints.get_mut(&report.endpoint) else {
            return;
        };
        let links = report.links_ms.clone();
        let from = report.data_centre.clone();
        if view.apply_report(report, measured_at) {
            for (to, ms) in links {
                self.links.observe(&from, &to, ms);
            }
        }
    }

    /// Applies a load record to the known report that it belongs to.
    ///
    /// The record is dropped if that report is not known. The endpoint is then polled
    /// directly once its known report is stale.
    pub fn apply_load(&mut self, load: &LoadRecord, measured_at: Instant) {
        let known = self.get(&load.endpoint).and_then(EndpointView::report);
        if let Some(report) = known.and_then(|report| report.with_load(load)) {
            self.apply_report(report, measured_at);
        }
    }

    /// Applies a peer's mark.
    pub fn apply_mark(&mut self, mark: &EndpointMark, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(&mark.endpoint) {
            view.apply_mark(mark, now);
        }
    }

    /// Records that this entry could not reach the endpoint.
    ///
    /// The endpoint gets no new work until a report measured later arrives.
    pub fn note_unreachable(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.note_unreachable(now);
        }
    }

    /// Records that the endpoint refused a stream or failed to answer once.
    ///
    /// The endpoint is used less for a while, but is not excluded.
    pub fn note_suspect(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.note_suspect(now);
        }
    }

    /// Marks an endpoint whose weights the placement controller is about to change.
    ///
    /// Entries give it no new work until the mark expires, so that its streams can end
    /// first. Callers repeat the mark for as long as the change takes.
    pub fn note_moving(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.note_moving(now);
        }
    }

    /// Counts a stream of this entry as in flight at every stage of its chain.
    pub fn begin_stream(&mut self, chain: &[StageRef], now: Instant) {
        for stage in chain {
            if let Some(view) = self.endpoints.get_mut(&stage.endpoint) {
                view.begin_stream(now);
            }
        }
    }

    /// Removes a stream counted by [`begin_stream`](Self::begin_stream).
    pub fn end_stream(&mut self, chain: &[StageRef], now: Instant) {
        for stage in chain {
            if let Some(view) = self.endpoints.get_mut(&stage.endpoint) {
                view.end_stream(now);
            }
        }
    }

    /// Sets a peer's streams in flight; endpoints that are not named have none.
    pub fn set_peer_in_flight(
        &mut self,
        peer: &EntryId,
        in_flight: &BTreeMap<EndpointId, u32>,
        now: Instant,
    ) {
        self.peers.insert(peer.clone());
        for (id, view) in &mut self.endpoints {
            let count = in_flight.get(id).copied().unwrap_or(0);
            view.set_peer_in_flight(peer, count, now);
        }
    }

    /// Removes a peer and its streams in flight.
    pub fn forget_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
        for view in self.endpoints.values_mut() {
            view.forget_peer(peer);
        }
    }

    /// Returns the number of peers that report their streams in flight.
    pub fn peer_count(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns this entry's streams in flight by endpoint, to be sent to peers.
    pub fn own_in_flight(&self) -> BTreeMap<EndpointId, u32> {
        self.endpoints
            .values()
            .filter(|view| view.own_in_flight() > 0)
            .map(|view| (view.id().clone(), view.own_in_flight()))
            .collect()
    }

    /// Returns the marks that are recent enough to be gossiped to peers.
    pub fn marks(&self, now: Instant) -> Vec<EndpointMark> {
        self.endpoints
            .values()
            .flat_map(|view| view.marks(now))
            .collect()
    }

    /// Returns all known endpoints, sorted by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointView> {
        self.endpoints.values()
    }

    /// Returns the view of an endpoint.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointView> {
        self.endpoints.get(endpoint)
    }

    /// Returns whether an endpoint may get new work.
    ///
    /// It must be listed, or reporting within the grace period, and must not be
    /// leaving, dead, loading or moving.
    pub fn is_usable(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.get(endpoint).is_some_and(|view| view.is_usable(now))
    }

    /// Returns the usable endpoints of a plain service, the least loaded first, but
    /// suspect endpoints last.
    pub fn service_endpoints(&self, service: &ServiceName, now: Instant) -> Vec<&EndpointView> {
        let mut found: Vec<&EndpointView> = self
            .endpoints
            .values()
            .filter(|view| view.service() == Some(service) && view.is_usable(now))
            .collect();
        found.sort_by_key(|view| {
            (
                view.is_suspect(now),
                view.estimated_streams(),
                view.own_in_flight(),
            )
        });
        found
    }

    /// Records a link time observed between two data centres, in milliseconds.
    pub fn observe_link(&mut self, from: &DataCentre, to: &DataCentre, ms: f64) {
        self.links.observe(from, to, ms);
    }

    /// Returns the smoothed link time between two data centres, in milliseconds.
    pub fn link_ms(&self, from: &DataCentre, to: &DataCentre) -> f64 {
        self.links.link_ms(from, to)
    }

    /// Marks a link as degraded: it is avoided for 10 s and then tried again.
    pub fn set_degraded_link(&mut self, from: &EndpointId, to: &EndpointId, now: Instant) {
        self.links.set_degraded(from, to, now);
    }

    /// Returns whether the link between two endpoints is degraded.
    pub fn is_degraded_link(&self, from: &EndpointId, to: &EndpointId, now: Instant) -> bool {
        self.links.is_degraded(from, to, now)
    }

    /// Returns whether any link between endpoints is degraded.
    pub fn has_degraded_links(&self, now: Instant) -> bool {
        self.links.has_degraded(now)
    }
}

/// Returns a duration in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
