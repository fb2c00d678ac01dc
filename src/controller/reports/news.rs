//! Reports that peers have not been told yet.

use std::collections::{BTreeMap, BTreeSet};

use pistachioyard_policy::FleetView;
use pistachioyard_wire::{EndpointReport, LoadRecord};

use crate::prelude::*;

/// The reports read since the last gossip.
///
/// A peer that loses a message asks the endpoint itself once its report is old,
/// so nothing is kept for it here.
#[derive(Debug, Default)]
pub(crate) struct ReportNews {
    fresh: BTreeSet<EndpointId>,
    /// The digests of what peers were told whole.
    told: BTreeMap<EndpointId, u64>,
    rounds: u64,
}

impl ReportNews {
    /// Notes a report that was read from its endpoint.
    pub(super) fn note(&mut self, endpoint: EndpointId) {
        self.fresh.insert(endpoint);
    }

    /// Counts a gossip to all dialed peers; returns the number of earlier ones.
    pub(crate) fn begin_round(&mut self) -> u64 {
        self.rounds += 1;
        self.rounds - 1
    }

    /// Returns the new reports: whole where more than the load has changed, and
    /// the load of the others.
    pub(crate) fn take(
        &mut self,
        fleet: &FleetView,
        now: Instant,
    ) -> (Vec<(EndpointReport, u64)>, Vec<LoadRecord>) {
        let mut reports = Vec::new();
        let mut loads = Vec::new();
        for endpoint in std::mem::take(&mut self.fresh) {
            let view = fleet.get(&endpoint);
            let Some((report, at)) = view.and_then(|v| v.report().zip(v.measured_at())) else {
                self.told.remove(&endpoint);
                continue;
            };
            let age_ms = now.saturating_duration_since(at).as_millis() as u64;
            let shape = report.shape_digest();
            if self.told.insert(endpoint, shape) == Some(shape) {
                loads.push(report.load(age_ms));
            } else {
                reports.push((report.clone(), age_ms));
            }
        }
        (reports, loads)
    }
}
