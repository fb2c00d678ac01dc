//! Exchanges findings about prompt parts with peers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::{PartCrash, PartMark, PartReport, PromptPart};

use super::{Crash, HOLD, PROOF_TTL, PartConviction, PartQuarantine, newest};
use crate::quarantine::age_ms;

/// The maximum numbers of items in one report, which keep it small.
const MAX_REPORTED_CRASHES: usize = 8;
const MAX_REPORTED_SUSPECTS: usize = 192;
const MAX_REPORTED_MARKS: usize = 64;
/// How long the same suspects are told of a crash that has too many for one report; longer than
/// the time between two reports.
const SUSPECTS_PERIOD: Duration = Duration::from_millis(300);
/// The maximum numbers of items that are accepted from one report of a peer.
const MAX_MERGED_ITEMS: usize = 64;

/// Holds what a peer's report changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PartFindings {
    /// The parts that are refused from now on.
    pub convicted: Vec<PartConviction>,
    /// The parts that are no longer refused.
    pub acquitted: Vec<PromptPart>,
}

impl PartQuarantine {
    /// Returns the report for peers: the newest findings of each kind.
    pub fn report(&self, now: Instant) -> PartReport {
        let counts = self.count_crashes();
        let crashes = self
            .unexplained()
            .map(|(run, crash)| (crash.at, (run, crash)));
        let crashes = newest(crashes, MAX_REPORTED_CRASHES);
        let room = MAX_REPORTED_SUSPECTS / crashes.len().max(1);
        let crashes = crashes.into_iter().map(|(at, (run, crash))| PartCrash {
            run: *run,
            parts: self.suspects_to_tell(crash, &counts, room, now),
            age_ms: age_ms(now, at),
        });
        let convicted = self.convicted.iter().map(|(part, since)| (*since, *part));
        let convicted = convicted.filter(|(since, _)| now.saturating_duration_since(*since) < HOLD);
        let suspected: BTreeSet<&PromptPart> = counts.keys().chain(self.acquitted.keys()).collect();
        let sound = suspected.into_iter().filter_map(|part| {
            let proved_at = self.sound.proved_at(*part)?;
            Some((proved_at, *part))
        });
        PartReport {
            crashes: crashes.collect(),
            convicted: marks(newest(convicted, MAX_REPORTED_MARKS), now),
            sound: marks(newest(sound, MAX_REPORTED_MARKS), now),
        }
    }

    /// Returns the number of crashes that each part is in.
    pub(super) fn count_crashes(&self) -> BTreeMap<PromptPart, usize> {
        let mut counts = BTreeMap::new();
        for part in self.crashes.values().flat_map(|crash| &crash.suspects) {
            *counts.entry(*part).or_default() += 1;
        }
        counts
    }

    /// Returns the suspects of a crash, those in the most crashes first.
    pub(super) fn ranked_suspects(
        &self,
        crash: &Crash,
        counts: &BTreeMap<PromptPart, usize>,
    ) -> Vec<PromptPart> {
        let suspects = crash.suspects.iter().copied();
        let mut suspects: Vec<PromptPart> = suspects
            .filter(|part| !self.sound.covers(*part, crash.at))
            .collect();
        suspects.sort_by_key(|part| (Reverse(counts.get(part)), *part));
        suspects
    }

    /// Returns the suspects of a crash to tell now: those in several crashes, and others in turn,
    /// so that peers hear of all within some reports.
    fn suspects_to_tell(
        &self,
        crash: &Crash,
        counts: &BTreeMap<PromptPart, usize>,
        room: usize,
        now: Instant,
    ) -> Vec<PromptPart> {
        let mut parts = self.ranked_suspects(crash, counts);
        if parts.len() > room {
            let in_several = |part: &PromptPart| counts.get(part).is_some_and(|count| *count > 1);
            let first_single = parts.partition_point(in_several).min(room / 2);
            let singles = &mut parts[first_single..];
            let periods =
                now.saturating_duration_since(crash.at).as_millis() / SUSPECTS_PERIOD.as_millis();
            let told = (periods as usize).saturating_mul(room - first_single);
            singles.rotate_left(told % singles.len());
            parts.truncate(room);
        }
        parts
    }

    /// Merges the report of a peer.
    ///
    /// A part that is known to be sound is not convicted by a peer's report.
    pub fn merge(&mut self, report: &PartReport, now: Instant) -> PartFindings {
        let mut findings = PartFindings::default();
        for mark in report.sound.iter().take(MAX_MERGED_ITEMS) {
            if let Some(proved_at) = recorded_at(mark.age_ms, PROOF_TTL, now) {
                let acquitted = self.record_sound(&[mark.part], proved_at);
                findings.acquitted.extend(acquitted);
            }
        }
        for mark in report.convicted.iter().take(MAX_MERGED_ITEMS) {
            let Some(since) = recorded_at(mark.age_ms, HOLD, now) else {
                continue;
            };
            if self.sound.covers(mark.part, now) {
                continue;
            }
            let known_since = self.convicted.get(&mark.part).copied();
            if known_since.is_none_or(|known_since| known_since < since) {
                self.add_conviction(mark.part, since);
            }
            if known_since.is_none() {
                findings.convicted.push(PartConviction {
                    part: mark.part,
                    crashed: Vec::new(),
                });
            }
        }
        for reported in report.crashes.iter().take(MAX_MERGED_ITEMS) {
            if let Some(at) = recorded_at(reported.age_ms, super::CRASH_TTL, now) {
                let mut crash = Crash::new(at);
                crash.suspects.extend(self.fit(reported.parts.clone()));
                self.add_crash(reported.run, crash);
            }
        }
        findings.convicted.extend(self.review(now));
        findings
    }
}

fn marks(items: Vec<(Instant, PromptPart)>, now: Instant) -> Vec<PartMark> {
    let marks = items.into_iter().map(|(at, part)| PartMark {
        part,
        age_ms: age_ms(now, at),
    });
    marks.collect()
}

/// Returns when a finding of this age was made; none if it no longer counts.
fn recorded_at(age_ms: u64, ttl: Duration, now: Instant) -> Option<Instant> {
    let age = Duration::from_millis(age_ms);
    (age < ttl).then(|| now.checked_sub(age)).flatten()
}
