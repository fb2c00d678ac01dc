//! Collects the reports that have not been gossiped to peers yet.

use std::collections::{BTreeMap, BTreeSet};

use pistachioyard_policy::FleetView;
use pistachioyard_wire::{EndpointReport, LoadRecord};

use crate::prelude::*;

/// Holds the endpoints whose reports were read since the last gossip.
///
/// Nothing is kept here for a peer that loses a message: it polls the endpoint itself once its
/// report is too old.
#[derive(Debug, Default)]
pub(crate) struct PendingReports {
    pending: BTreeSet<EndpointId>,
    /// The shape digests of the reports last sent in full.
    sent_shapes: BTreeMap<EndpointId, u64>,
    rounds: u64,
}

impl PendingReports {
    /// Adds an endpoint whose report was just read.
    pub(super) fn add(&mut self, endpoint: EndpointId) {
        self.pending.insert(endpoint);
    }

    /// Counts a gossip round to all dialed peers; returns the number of earlier rounds.
    pub(crate) fn begin_round(&mut self) -> u64 {
        self.rounds += 1;
        self.rounds - 1
    }

    /// Takes the pending reports: in full where more than the load has changed, and only the
    /// load of the others.
    pub(crate) fn take(
        &mut self,
        fleet: &FleetView,
        now: Instant,
    ) -> (Vec<(EndpointReport, u64)>, Vec<LoadRecord>) {
        let mut reports = Vec::new();
        let mut loads = Vec::new();
        for endpoint in std::mem::take(&mut self.pending) {
            let view = fleet.get(&endpoint);
            let Some((report, at)) = view.and_then(|v| v.report().zip(v.measured_at())) else {
                self.sent_shapes.remove(&endpoint);
                continue;
            };
            let age_ms = now.saturating_duration_since(at).as_millis() as u64;
            let shape = report.shape_digest();
            if self.sent_shapes.insert(endpoint, shape) == Some(shape) {
                loads.push(report.load(age_ms));
            } else {
                reports.push((report.clone(), age_ms));
            }
        }
        (reports, loads)
    }
}
