//! What an entry knows of endpoints, from sources that lag or contradict.
//!
//! The host list says which endpoints exist and where they listen, reports say
//! what they hold and how loaded they are, marks of this entry and its peers say
//! which of them get no new work. Marks are kept by the run of the endpoint's
//! process, so that a restarted endpoint does not inherit those of its last run
//! (`docs/design/fleet-view.md`).

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

/// How long an endpoint that vanished from the host list is kept while it reports.
const VANISHED_KEEP: Duration = Duration::from_secs(30);

/// Everything an entry knows of the endpoints.
///
/// Reports and marks of endpoints that the host list has not named yet are
/// dropped, because nothing can be sent to them without an address.
#[derive(Debug, Default)]
pub struct FleetView {
    endpoints: BTreeMap<EndpointId, EndpointView>,
    links: Links,
    peers: BTreeSet<EntryId>,
}

impl FleetView {
    /// Makes a view that knows no endpoint.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the host list.
    ///
    /// An endpoint that vanished from the list stays for up to 30 s while it
    /// reports, because the list lags; one with own streams in flight stays until
    /// they have ended, but gets no new ones.
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

    /// Takes over an endpoint's report, unless a newer one is known.
    ///
    /// Reports reach an entry from the endpoint itself and through peers, so they
    /// may arrive out of order, and those of an earlier run may come late.
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

    /// Takes over the load of a report whose other parts are known.
    ///
    /// It is dropped where they are not; the endpoint is then asked itself once
    /// its known report has grown old.
    pub fn apply_load(&mut self, load: &LoadRecord, measured_at: Instant) {
        let known = self.get(&load.endpoint).and_then(EndpointView::report);
        if let Some(report) = known.and_then(|report| report.with_load(load)) {
            self.apply_report(report, measured_at);
        }
    }

    /// Takes over a peer's mark.
    pub fn apply_mark(&mut self, mark: &EndpointMark, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(&mark.endpoint) {
            view.apply_mark(mark, now);
        }
    }

    /// Notes that this entry could not reach the endpoint.
    ///
    /// It gets no new work until it reports something measured later.
    pub fn note_unreachable(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.note_unreachable(now);
        }
    }

    /// Notes that the endpoint was slow or did not answer once.
    ///
    /// It is used less for a while, but not shut out.
    pub fn note_suspect(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.note_suspect(now);
        }
    }

    /// Marks an endpoint whose weights the placement controller is about to change.
    ///
    /// Entries give it no new work until the mark has aged out, so that streams
    /// there can end first. Repeat it for as long as the change takes.
    pub fn note_moving(&mut self, endpoint: &EndpointId, now: Instant) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.note_moving(now);
        }
    }

    /// Counts a stream of this entry as in flight at every stage of its chain.
    pub fn begin(&mut self, chain: &[StageRef], now: Instant) {
        for stage in chain {
            if let Some(view) = self.endpoints.get_mut(&stage.endpoint) {
                view.begin(now);
            }
        }
    }

    /// Ends what [`begin`](Self::begin) counted.
    pub fn end(&mut self, chain: &[StageRef], now: Instant) {
        for stage in chain {
            if let Some(view) = self.endpoints.get_mut(&stage.endpoint) {
                view.end(now);
            }
        }
    }

    /// Takes over what a peer has in flight; endpoints it does not name have none.
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

    /// Forgets what a peer had in flight.
    pub fn forget_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
        for view in self.endpoints.values_mut() {
            view.forget_peer(peer);
        }
    }

    /// Returns the number of peers that tell what they have in flight.
    pub fn peers(&self) -> u32 {
        u32::try_from(self.peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns this entry's streams in flight by endpoint, for its peers.
    pub fn own_in_flight(&self) -> BTreeMap<EndpointId, u32> {
        self.endpoints
            .values()
            .filter(|view| view.own_in_flight() > 0)
            .map(|view| (view.id().clone(), view.own_in_flight()))
            .collect()
    }

    /// Returns the marks that are young enough to be told to peers.
    pub fn marks(&self, now: Instant) -> Vec<EndpointMark> {
        self.endpoints
            .values()
            .flat_map(|view| view.marks(now))
            .collect()
    }

    /// Returns every known endpoint in the order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointView> {
        self.endpoints.values()
    }

    /// Returns what is known of an endpoint.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&EndpointView> {
        self.endpoints.get(endpoint)
    }

    /// Tells whether an endpoint may get new work.
    ///
    /// It must be listed or reporting, and neither leaving, dead, loading nor
    /// moving.
    pub fn is_usable(&self, endpoint: &EndpointId, now: Instant) -> bool {
        self.get(endpoint).is_some_and(|view| view.is_usable(now))
    }

    /// Returns the usable endpoints of a plain service, the least loaded first.
    pub fn service_endpoints(&self, service: &ServiceName, now: Instant) -> Vec<&EndpointView> {
        let mut found: Vec<&EndpointView> = self
            .endpoints
            .values()
            .filter(|view| view.service() == Some(service) && view.is_usable(now))
            .collect();
        found.sort_by_key(|view| (view.is_suspect(now), view.work(), view.own_in_flight()));
        found
    }

    /// Takes over a link time between two data centres, in milliseconds.
    pub fn observe_link(&mut self, from: &DataCentre, to: &DataCentre, ms: f64) {
        self.links.observe(from, to, ms);
    }

    /// Returns the smoothed link time between two data centres, in milliseconds.
    pub fn link_ms(&self, from: &DataCentre, to: &DataCentre) -> f64 {
        self.links.link_ms(from, to)
    }

    /// Notes a stalled link, which is avoided for 10 s and then tried again.
    pub fn set_degraded_link(&mut self, from: &EndpointId, to: &EndpointId, now: Instant) {
        self.links.set_degraded(from, to, now);
    }

    /// Tells whether the link between two endpoints is to be avoided.
    pub fn is_degraded_link(&self, from: &EndpointId, to: &EndpointId, now: Instant) -> bool {
        self.links.is_degraded(from, to, now)
    }

    /// Tells whether any link between endpoints is to be avoided.
    pub fn has_degraded_links(&self, now: Instant) -> bool {
        self.links.has_degraded(now)
    }
}

/// Returns a duration in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
