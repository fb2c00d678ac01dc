//! What entries tell each other of requests that crash endpoints.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, QuarantineMark, RequestDigest};

use super::record::CrashRecord;
use super::undecided::UNDECIDED_TTL;
use super::{MAX_RECORDS, Quarantine, age_ms};

/// The maximum number of runs of each kind that are accepted from one mark of a peer.
const MAX_CRASHES_PER_MARK: usize = 16;
/// The maximum number of runs in the marks of one message, which keeps it small.
const MAX_RUNS_PER_MESSAGE: usize = 256;
/// The number of messages in which a mark goes before all that have not changed; messages go to
/// several groups of peers in turn, and may be lost.
const FIRST_TELLINGS: u32 = 6;

impl Quarantine {
    /// Returns the marks for the next message to peers, `max` at most, if it has no room for all.
    ///
    /// Marks that have changed lately go first, in the order of [`Quarantine::marks`]. All others
    /// follow in turn, so that none keeps another one from being told.
    pub fn marks_to_tell(&mut self, max: usize, now: Instant) -> Vec<QuarantineMark> {
        let mut marks = self.marks(now);
        marks.sort_by_key(|mark| {
            let record = &self.records[&mark.digest];
            match record.tellings < FIRST_TELLINGS {
                true => (false, 0),
                false => (true, record.last_told),
            }
        });
        marks.truncate(max);
        let mut runs = 0;
        let within = marks.iter().take_while(|mark| {
            runs += mark.crashed.len() + mark.cleared.len() + mark.undecided.len();
            runs <= MAX_RUNS_PER_MESSAGE
        });
        marks.truncate(within.count());
        self.messages += 1;
        for mark in &marks {
            if let Some(record) = self.records.get_mut(&mark.digest) {
                record.tellings = record.tellings.saturating_add(1);
                record.last_told = self.messages;
            }
        }
        marks
    }

    /// Returns the marks to gossip to peers: those of quarantined requests first, then those
    /// with the most and the newest losses, and then those that only clear a request.
    pub fn marks(&self, now: Instant) -> Vec<QuarantineMark> {
        let told = self.records.iter().filter(|(_, record)| {
            !record.crashed.is_empty()
                || record.undecided.values().any(|loss| loss.is_own)
                || !self.isolates_suspects && !record.cleared.is_empty()
        });
        let marks = told
            .filter(|(_, record)| !self.is_expired(record, now))
            .map(|(digest, record)| QuarantineMark {
                digest: *digest,
                crashed: listed(&record.crashed),
                cleared: listed(&record.cleared),
                undecided: record.undecided_at(now),
                convicted: record.quarantined,
                has_relapsed: record.has_relapsed,
                age_ms: age_ms(now, record.since),
            });
        let mut marks: Vec<QuarantineMark> = marks.collect();
        marks.sort_by_key(|mark| {
            let losses = Reverse(mark.crashed.len() + mark.undecided.len());
            (!mark.convicted, losses, mark.age_ms)
        });
        marks
    }

    /// Merges the marks of a peer.
    ///
    /// A mark carries its age, so that passing it around does not extend its lifetime. Crashes
    /// that were cleared here are not added again. Returns the requests that are quarantined by
    /// them.
    pub fn merge(&mut self, marks: &[QuarantineMark], now: Instant) -> Vec<RequestDigest> {
        self.expire(now);
        let mut quarantined = Vec::new();
        for mark in marks {
            let age = Duration::from_millis(mark.age_ms);
            if age < self.ttl(mark.convicted || !mark.cleared.is_empty()) {
                let since = now.checked_sub(age).unwrap_or(now);
                if self.merge_mark(mark, since, now) {
                    quarantined.push(mark.digest);
                }
            }
        }
        quarantined.extend(self.quarantine_culprits());
        quarantined
    }

    /// Merges one mark; returns whether it quarantines its request.
    fn merge_mark(&mut self, mark: &QuarantineMark, since: Instant, now: Instant) -> bool {
        if let Some(record) = self.records.get_mut(&mark.digest) {
            let listed = mark.cleared.iter().take(MAX_CRASHES_PER_MARK).copied();
            let (cleared, others): (Vec<BootId>, Vec<BootId>) =
                listed.partition(|boot| record.crashed.contains(boot));
            for boot in &others {
                record.undecided.remove(boot);
            }
            if !cleared.is_empty() {
                record.clear(cleared, now);
            }
        }
        let known = self.records.get(&mark.digest);
        let counts = |boot: &BootId| known.is_none_or(|record| !record.cleared.contains(boot));
        let listed = mark.crashed.iter().take(MAX_CRASHES_PER_MARK);
        let crashed: Vec<BootId> = listed.copied().filter(counts).collect();
        let undecided = recent_losses(mark, now);
        let is_empty = crashed.is_empty() && undecided.is_empty();
        if is_empty || known.is_none() && self.records.len() >= MAX_RECORDS {
            return false;
        }
        let record = self
            .records
            .entry(mark.digest)
            .or_insert_with(|| CrashRecord::new(since));
        let is_newly_quarantined = mark.convicted && !record.quarantined;
        let before = record.crashed.len();
        for boot in crashed {
            record.undecided.remove(&boot);
            record.crashed.insert(boot);
        }
        for (boot, lost_at) in undecided {
            record.add_told_loss(boot, lost_at);
        }
        record.quarantined |= mark.convicted;
        record.has_relapsed |= mark.convicted && mark.has_relapsed;
        if is_newly_quarantined || record.crashed.len() > before {
            record.tellings = 0;
            record.since = record.since.max(since);
        }
        is_newly_quarantined
    }
}

impl CrashRecord {
    /// Returns this entry's losses that are not decided yet, with their ages in ms.
    fn undecided_at(&self, now: Instant) -> Vec<(BootId, u64)> {
        let losses = self.undecided.iter();
        let told = losses.filter(|(_, loss)| loss.is_own && loss.counts(now));
        let aged = told.map(|(boot, loss)| (*boot, age_ms(now, loss.at)));
        aged.take(MAX_CRASHES_PER_MARK).collect()
    }
}

/// Returns the runs that a mark lists.
fn listed(runs: &BTreeSet<BootId>) -> Vec<BootId> {
    runs.iter().take(MAX_CRASHES_PER_MARK).copied().collect()
}

/// Returns the undecided losses of a mark that still count, with the time of each.
fn recent_losses(mark: &QuarantineMark, now: Instant) -> Vec<(BootId, Instant)> {
    let listed = mark.undecided.iter().take(MAX_CRASHES_PER_MARK);
    let recent = listed.filter_map(|(boot, age_ms)| {
        let age = Duration::from_millis(*age_ms);
        let lost_at = now.checked_sub(age)?;
        (age < UNDECIDED_TTL).then_some((*boot, lost_at))
    });
    recent.collect()
}
