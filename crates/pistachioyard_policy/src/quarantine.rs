//! Quarantines poison requests, which crash the endpoints that run them.
//!
//! An endpoint runs many requests at once, so a crash also hits harmless requests, called
//! bystanders. Every request that was running at a crash is a suspect and shares no endpoint
//! with other suspects ([`SuspectReservations`]) until it completes. See
//! `docs/design/quarantine.md`.
//!
//! A request is quarantined in either of these cases:
//!
//! - It was in two crashes, and in one of them it was the only request that was in two. Since
//!   suspects are isolated, a second crash has only one such request.
//! - It was in three crashes. This covers suspects that did share a second crash, for example
//!   through two entries.
//!
//! While suspects are isolated, a poison request therefore costs two endpoints. A bystander is
//! in one crash only. It is cleared when it completes, not when another request is quarantined,
//! because that other request may be quarantined wrongly. This happens to a suspect whose
//! second endpoint dies of another cause: it cannot be told from a poison request without
//! losing a third endpoint, so it is refused for the hold time.
//!
//! Where suspects are not isolated, the end of a hold releases no request. One trial at a time
//! finds out whether the request is still poison: its completion releases the request, and
//! another crash refuses it for [`RELAPSE_HOLD`].
//!
//! A loss of which it is not known whether it was a crash is kept until that is known.

mod marks;
mod record;
mod reservations;
mod undecided;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, RequestDigest};

use record::CrashRecord;
pub use reservations::SuspectReservations;
pub use undecided::UNDECIDED_TTL;

/// The crashes after which a request is quarantined if it was the only repeater in one of them.
/// A repeater is a request that was in at least this many crashes.
const CRASHES_TO_QUARANTINE_SOLE_REPEATER: usize = 2;
/// The crashes after which a request is quarantined in any case.
const CRASHES_TO_QUARANTINE: usize = 3;

/// How long a request is refused that crashed an endpoint again after its hold.
pub const RELAPSE_HOLD: Duration = Duration::from_secs(600);
/// How long a quarantine is remembered after the newest crash, so that a single crash renews it.
const QUARANTINE_TTL: Duration = Duration::from_secs(3_600);
/// How long the crashes of a request that is not quarantined count where suspects are not
/// isolated; longer than callers of such a request stay away.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// How long a trial may take; longer than the deadlines of requests.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);

/// The number of crash records at which an entry adds no more of them from its peers, and
/// replaces its own oldest.
const MAX_RECORDS: usize = 4_096;
/// Says how to treat a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineVerdict {
    /// It may run anywhere.
    Clear,
    /// It may run, but on no endpoint that runs another suspect.
    Suspect {
        /// The number of crashes that it was in.
        crashes: usize,
    },
    /// It is refused with a final answer.
    Quarantined {
        /// The time until it is accepted again.
        retry_after: Duration,
    },
    /// Its hold has ended; it may run once at a time, after [`Quarantine::begin_trial`].
    OnTrial {
        /// The time since the end of the hold.
        lapsed: Duration,
    },
}

/// Holds one entry's crash records of requests.
#[derive(Clone, Debug)]
pub struct Quarantine {
    hold_time: Duration,
    /// Whether suspects share no endpoint, so that two crashes can be enough.
    isolates_suspects: bool,
    records: BTreeMap<RequestDigest, CrashRecord>,
    /// The number of messages to peers so far.
    messages: u64,
}

impl Quarantine {
    /// Creates an empty quarantine; each record is kept for `hold_time` after its newest crash.
    pub fn new(hold_time: Duration) -> Self {
        Self {
            hold_time,
            isolates_suspects: true,
            records: BTreeMap::new(),
            messages: 0,
        }
    }

    /// Creates an empty quarantine for entries that do not isolate suspects.
    ///
    /// A request is then quarantined only after three crashes, since a bystander can be in two.
    pub fn without_isolation(hold_time: Duration) -> Self {
        Self {
            isolates_suspects: false,
            ..Self::new(hold_time)
        }
    }

    /// Records the crash of an endpoint's run.
    ///
    /// `running` holds all requests of this entry that had a stage there. The same run may be
    /// reported more than once. Returns the requests that are quarantined by it.
    pub fn record_crash(
        &mut self,
        running: &[RequestDigest],
        boot: BootId,
        now: Instant,
    ) -> Vec<RequestDigest> {
        self.expire(now);
        for digest in running {
            self.make_room(*digest);
            let record = self
                .records
                .entry(*digest)
                .or_insert_with(|| CrashRecord::new(now));
            record.add_crash(boot, now, self.hold_time);
        }
        self.quarantine_culprits()
    }

    /// Removes the record with the oldest crash if there is no room for that of `digest`.
    fn make_room(&mut self, digest: RequestDigest) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&digest) {
            return;
        }
        let oldest = self
            .records
            .iter()
            .min_by_key(|(_, record)| (record.quarantined, record.since));
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.records.remove(&oldest);
        }
    }

    /// Returns the number of crashes that a request was in.
    pub fn count_crashes(&self, digest: RequestDigest) -> usize {
        let record = self.records.get(&digest);
        record.map_or(0, |record| record.crashed.len())
    }

    /// Returns how to treat a request at `now`.
    pub fn verdict(&self, digest: RequestDigest, now: Instant) -> QuarantineVerdict {
        let Some(record) = self.records.get(&digest) else {
            return QuarantineVerdict::Clear;
        };
        let age = now.saturating_duration_since(record.since);
        let hold = record.hold(self.hold_time);
        let retry_after = hold.saturating_sub(age);
        match (
            retry_after.is_zero(),
            record.quarantined,
            record.crashed.len(),
        ) {
            (true, true, _) if !self.isolates_suspects => QuarantineVerdict::OnTrial {
                lapsed: age.saturating_sub(hold),
            },
            (true, _, _) | (false, false, 0) => QuarantineVerdict::Clear,
            (false, true, _) => QuarantineVerdict::Quarantined { retry_after },
            (false, false, crashes) => QuarantineVerdict::Suspect { crashes },
        }
    }

    /// Begins the trial of a request whose hold has ended; returns whether it may run now.
    pub fn begin_trial(&mut self, digest: RequestDigest, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&digest) else {
            return true;
        };
        let is_free = record
            .trial_since
            .is_none_or(|since| now.saturating_duration_since(since) >= TRIAL_TIMEOUT);
        if is_free {
            record.trial_since = Some(now);
        }
        is_free
    }

    /// Records that a request completed, which means that it did not cause its crashes.
    pub fn record_completion(&mut self, digest: RequestDigest, now: Instant) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        let mut lost_by = std::mem::take(&mut record.crashed);
        lost_by.extend(record.undecided.keys());
        record.clear(lost_by, now);
        self.quarantine_culprits();
    }

    /// Removes the records that no longer count.
    pub fn expire(&mut self, now: Instant) {
        let mut records = std::mem::take(&mut self.records);
        records.retain(|_, record| !self.is_expired(record, now));
        self.records = records;
    }

    fn is_expired(&self, record: &CrashRecord, now: Instant) -> bool {
        let changed_at = record.cleared_at.max(Some(record.since));
        let age = changed_at.map(|at| now.saturating_duration_since(at));
        age.unwrap_or_default() >= self.ttl(record.quarantined)
    }

    /// Returns how long a record is kept after its newest change.
    fn ttl(&self, is_quarantined: bool) -> Duration {
        match (self.isolates_suspects, is_quarantined) {
            (true, _) => self.hold_time,
            (false, true) => QUARANTINE_TTL,
            (false, false) => SUSPECT_TTL.max(self.hold_time),
        }
    }

    /// Quarantines the requests that were in enough crashes, and returns them.
    fn quarantine_culprits(&mut self) -> Vec<RequestDigest> {
        let mut repeaters: BTreeMap<BootId, usize> = BTreeMap::new();
        for record in self.records.values().filter(|r| r.is_repeater()) {
            for boot in &record.crashed {
                *repeaters.entry(*boot).or_default() += 1;
            }
        }
        let mut quarantined = Vec::new();
        for (digest, record) in self.records.iter_mut().filter(|(_, r)| r.is_repeater()) {
            let is_sole_repeater = record.crashed.iter().any(|boot| repeaters[boot] == 1);
            let is_enough = is_sole_repeater && self.isolates_suspects
                || record.crashed.len() >= CRASHES_TO_QUARANTINE;
            if is_enough && !record.quarantined {
                record.quarantined = true;
                record.tellings = 0;
                quarantined.push(*digest);
            }
        }
        quarantined
    }
}

/// Returns the age in ms, rounded up so that a mark cannot get younger by being passed around.
pub(crate) fn age_ms(now: Instant, since: Instant) -> u64 {
    let age = now.saturating_duration_since(since);
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
