//! Losses of which it is not known whether they were crashes.
//!
//! Where no endpoint of a service is reached, one that has ended cannot be told from one behind
//! broken links. The loss is kept until the run is known to have ended or to go on.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, RequestDigest};

use super::record::{CrashRecord, Loss};
use super::{CRASHES_TO_QUARANTINE, Quarantine};

/// How long it may take until it is known what became of a run; longer than the store keeps the
/// record of an endpoint that is silent, and longer than its outages.
pub const UNDECIDED_TTL: Duration = Duration::from_secs(30);

impl Quarantine {
    /// Records that a run lost a request and may have ended.
    pub fn record_loss(&mut self, digest: RequestDigest, run: BootId, now: Instant) {
        self.expire(now);
        self.make_room(digest);
        let record = self.records.entry(digest);
        let record = record.or_insert_with(|| CrashRecord::new(now));
        record.add_loss(run, now);
    }

    /// Discards the loss of a run that goes on, or of which nothing was found out in time.
    pub fn dismiss_loss(&mut self, digest: RequestDigest, run: BootId) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.undecided.remove(&run);
        }
    }

    /// Records that a run has ended, which makes its undecided losses crashes; returns the
    /// requests for which it counts, and those that are quarantined by it.
    pub fn record_end(
        &mut self,
        run: BootId,
        now: Instant,
    ) -> (Vec<RequestDigest>, Vec<RequestDigest>) {
        let mut counted = Vec::new();
        for (digest, record) in &mut self.records {
            let loss = record.undecided.remove(&run);
            if loss.is_some_and(|loss| loss.counts(now)) {
                record.add_crash(run, now, self.hold_time);
                counted.push(*digest);
            }
        }
        (counted, self.quarantine_culprits())
    }

    /// Returns the runs of which it is not known whether they have ended.
    pub fn undecided_runs(&self) -> BTreeSet<BootId> {
        let records = self.records.values();
        records.flat_map(|r| r.undecided.keys().copied()).collect()
    }

    /// Returns whether a request would be quarantined if all runs that lost it had ended.
    pub fn awaits_decision(&self, digest: RequestDigest, now: Instant) -> bool {
        self.records.get(&digest).is_some_and(|record| {
            let losses = record.undecided.values();
            let recent = losses.filter(|loss| loss.counts(now)).count();
            !record.quarantined
                && recent > 0
                && record.crashed.len() + recent >= CRASHES_TO_QUARANTINE
        })
    }

    /// Returns the number of runs that lost a request and have not turned out to go on.
    pub fn count_losses(&self, digest: RequestDigest) -> usize {
        let record = self.records.get(&digest);
        record.map_or(0, |record| record.crashed.len() + record.undecided.len())
    }
}

impl Loss {
    /// Returns whether it may still turn out to be a crash.
    pub(super) fn counts(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < UNDECIDED_TTL
    }
}
