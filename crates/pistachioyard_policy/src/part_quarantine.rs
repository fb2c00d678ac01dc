//! Quarantines prompt parts that crash the endpoints that run requests with them.
//!
//! Such requests have nothing else in common, and each crash also hits requests that are sound.
//! A part is convicted when it explains most crashes:
//!
//! - Every part of a request that was lost in a crash is a suspect in it, unless it is sound.
//! - A part is sound once a request with it has completed or has been writing for
//!   [`PROOF_WRITING_TIME`], which a part that crashes endpoints prevents.
//! - Endpoints that crash at about the same time count once, since something else may have
//!   ended them together.
//! - Each conviction explains the crashes that the part is a suspect in. The others have to be
//!   explained by further parts.
//! - Where no part explains most of the crashes, two that do so together are convicted. A part
//!   that is in many requests would otherwise be taken for the cause.

mod explanation;
mod report;
mod sound_parts;
mod writing_time;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, PromptPart};

use explanation::{ObservedCrash, find_culprits};
pub use report::PartFindings;
use sound_parts::{PROOF_TTL, SoundParts};
pub use writing_time::{PROOF_WRITING_TIME, WritingTime};

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(120);
/// How long requests with a convicted part are refused.
const HOLD: Duration = Duration::from_secs(600);
/// How long a conviction is kept, so that a single crash after the hold renews it.
const CONVICTION_TTL: Duration = Duration::from_secs(3_600);
/// The maximum numbers of items kept; the oldest are forgotten first.
const MAX_LOSSES: usize = 64;
const MAX_CRASHES: usize = 64;
const MAX_SUSPECTS: usize = 32_768;
/// The number of suspects that a crash has where there is no room, if they are in other crashes.
const MAX_RECURRING: usize = 1_024;
const MAX_CONVICTIONS: usize = 64;

/// Says whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartVerdict {
    /// It has no convicted part.
    Clear,
    /// It is refused because of a part.
    Refused {
        /// The convicted part.
        part: PromptPart,
        /// The time until requests with the part are accepted again.
        retry_after: Duration,
    },
}

/// Says what a lost answer calls for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCheck {
    /// The endpoint is to be probed, and the result reported.
    Probe,
    /// It is known, or being found out, whether the endpoint has crashed, or it does not matter.
    Known,
}

/// Holds a conviction and the crashes that led to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartConviction {
    /// The convicted part.
    pub part: PromptPart,
    /// The endpoint runs that crashed under it.
    pub crashed: Vec<BootId>,
}

#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    suspects: BTreeSet<PromptPart>,
}

/// Holds one entry's findings about the prompt parts of requests.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    /// Lost answers whose endpoints are being probed.
    losses: BTreeMap<BootId, Crash>,
    crashes: BTreeMap<BootId, Crash>,
    sound: SoundParts,
    /// The time of each conviction.
    convicted: BTreeMap<PromptPart, Instant>,
    /// The parts that were convicted and turned out to be sound, with the time of the proof.
    acquitted: BTreeMap<PromptPart, Instant>,
}

impl PartQuarantine {
    /// Returns whether any of these parts is not known to be sound.
    pub fn has_suspects(&self, parts: &[PromptPart], now: Instant) -> bool {
        parts.iter().any(|part| !self.sound.covers(*part, now))
    }

    /// Records that an endpoint run lost a request with these parts, which may be a crash.
    ///
    /// For the first loss of a run, the caller probes the endpoint and then calls
    /// [`PartQuarantine::confirm_crash`] or [`PartQuarantine::dismiss_loss`]. A request without
    /// suspects explains no crash, so its loss calls for no probe.
    pub fn record_loss(&mut self, run: BootId, parts: &[PromptPart], now: Instant) -> LossCheck {
        let suspects: Vec<PromptPart> = parts
            .iter()
            .copied()
            .filter(|part| !self.sound.covers(*part, now))
            .collect();
        if suspects.is_empty() {
            return LossCheck::Known;
        }
        let suspects = self.fit(suspects);
        if let Some(crash) = self.crashes.get_mut(&run) {
            crash.suspects.extend(suspects);
            return LossCheck::Known;
        }
        let is_new = !self.losses.contains_key(&run);
        if is_new && self.losses.len() >= MAX_LOSSES {
            remove_oldest(&mut self.losses, |loss| loss.at);
        }
        let loss = self.losses.entry(run).or_insert_with(|| Crash::new(now));
        loss.suspects.extend(suspects);
        match is_new {
            true => LossCheck::Probe,
            false => LossCheck::Known,
        }
    }

    /// Records that an endpoint run that lost requests has crashed; returns the convictions.
    pub fn confirm_crash(&mut self, run: BootId, now: Instant) -> Vec<PartConviction> {
        if let Some(loss) = self.losses.remove(&run) {
            self.add_crash(run, loss);
        }
        self.review(now)
    }

    /// Returns the suspects in a crash, those in the most crashes first.
    pub fn suspects(&self, run: BootId) -> Vec<PromptPart> {
        let crash = self.crashes.get(&run);
        crash.map_or_else(Vec::new, |crash| {
            self.ranked_suspects(crash, &self.count_crashes())
        })
    }

    /// Discards the losses of an endpoint run that still lives.
    pub fn dismiss_loss(&mut self, run: BootId) {
        self.losses.remove(&run);
    }

    /// Records that an endpoint has written an answer on these parts without crashing; returns
    /// those that are thereby acquitted.
    pub fn record_sound(&mut self, parts: &[PromptPart], now: Instant) -> Vec<PromptPart> {
        for part in parts {
            self.sound.record(*part, now);
        }
        let acquitted = parts.iter().copied();
        let acquitted: Vec<PromptPart> = acquitted
            .filter(|part| self.convicted.remove(part).is_some())
            .collect();
        for part in &acquitted {
            if self.acquitted.len() >= MAX_CONVICTIONS {
                remove_oldest(&mut self.acquitted, |at| *at);
            }
            self.acquitted.insert(*part, now);
        }
        acquitted
    }

    /// Returns whether a request with these parts may run at `now`.
    pub fn verdict(&self, parts: &[PromptPart], now: Instant) -> PartVerdict {
        let refused = parts.iter().find_map(|part| {
            let retry_after = self.hold_left(*part, now)?;
            Some(PartVerdict::Refused {
                part: *part,
                retry_after,
            })
        });
        refused.unwrap_or(PartVerdict::Clear)
    }

    /// Returns how long a part is still refused; none if it is not.
    fn hold_left(&self, part: PromptPart, now: Instant) -> Option<Duration> {
        let since = *self.convicted.get(&part)?;
        let left = HOLD.saturating_sub(now.saturating_duration_since(since));
        (!left.is_zero()).then_some(left)
    }

    fn add_crash(&mut self, run: BootId, loss: Crash) {
        if !self.crashes.contains_key(&run) && self.crashes.len() >= MAX_CRASHES {
            remove_oldest(&mut self.crashes, |crash| crash.at);
        }
        let crash = self
            .crashes
            .entry(run)
            .or_insert_with(|| Crash::new(loss.at));
        crash.at = crash.at.min(loss.at);
        crash.suspects.extend(loss.suspects);
    }

    /// Returns as many of these suspects as there is room for; those that were in other crashes
    /// first, since a part that explains them must be among these.
    fn fit(&self, suspects: Vec<PromptPart>) -> Vec<PromptPart> {
        let held = self.crashes.values().chain(self.losses.values());
        let held: usize = held.map(|crash| crash.suspects.len()).sum();
        let room = MAX_SUSPECTS.saturating_sub(held);
        if suspects.len() <= room {
            return suspects;
        }
        let is_known = |part: &PromptPart| {
            let mut crashes = self.crashes.values();
            crashes.any(|crash| crash.suspects.contains(part))
        };
        let (mut kept, new): (Vec<_>, Vec<_>) = suspects.into_iter().partition(is_known);
        kept.truncate(room.max(MAX_RECURRING));
        kept.extend(new.into_iter().take(room.saturating_sub(kept.len())));
        kept
    }

    /// Convicts the parts that explain the crashes; to be called regularly, since doubts are
    /// cleared by time.
    pub fn review(&mut self, now: Instant) -> Vec<PartConviction> {
        self.expire(now);
        let mut convictions = self.renew_lapsed(now);
        loop {
            let culprits = self.find_culprits(now);
            if culprits.is_empty() {
                return convictions;
            }
            for culprit in culprits {
                self.add_conviction(culprit.part, now);
                convictions.push(culprit);
            }
        }
    }

    fn add_conviction(&mut self, part: PromptPart, at: Instant) {
        if !self.convicted.contains_key(&part) && self.convicted.len() >= MAX_CONVICTIONS {
            remove_oldest(&mut self.convicted, |since| *since);
        }
        self.convicted.insert(part, at);
    }

    fn find_culprits(&self, now: Instant) -> Vec<PartConviction> {
        let crashes = self.crashes.iter().map(|(run, crash)| {
            let suspects = crash.suspects.iter().copied();
            ObservedCrash {
                run: *run,
                at: crash.at,
                suspects: suspects
                    .filter(|part| !self.sound.covers(*part, crash.at))
                    .collect(),
                is_explained: self.is_explained(crash),
            }
        });
        find_culprits(crashes.collect(), now)
    }

    /// Convicts parts again that were suspects in a crash after their hold.
    fn renew_lapsed(&mut self, now: Instant) -> Vec<PartConviction> {
        let mut renewed = Vec::new();
        for (part, since) in &self.convicted {
            let crashed = self.crashes.iter().filter(|(_, crash)| {
                crash.at >= *since + HOLD
                    && crash.suspects.contains(part)
                    && !self.sound.covers(*part, crash.at)
            });
            let crashed: Vec<BootId> = crashed.map(|(run, _)| *run).collect();
            if !crashed.is_empty() {
                renewed.push(PartConviction {
                    part: *part,
                    crashed,
                });
            }
        }
        for conviction in &renewed {
            self.add_conviction(conviction.part, now);
        }
        renewed
    }

    /// Returns the crashes in which no convicted part is a suspect.
    fn unexplained(&self) -> impl Iterator<Item = (&BootId, &Crash)> {
        let crashes = self.crashes.iter();
        crashes.filter(|(_, crash)| !self.is_explained(crash))
    }

    /// Returns whether a convicted part is a suspect in a crash.
    fn is_explained(&self, crash: &Crash) -> bool {
        let mut suspects = crash.suspects.iter();
        suspects.any(|part| self.convicted.contains_key(part))
    }

    fn expire(&mut self, now: Instant) {
        let is_within = |at: Instant, limit: Duration| now.saturating_duration_since(at) < limit;
        self.losses.retain(|_, loss| is_within(loss.at, CRASH_TTL));
        self.crashes
            .retain(|_, crash| is_within(crash.at, CRASH_TTL));
        self.sound.expire(now);
        self.acquitted.retain(|_, at| is_within(*at, PROOF_TTL));
        self.convicted
            .retain(|_, since| is_within(*since, CONVICTION_TTL));
    }
}

impl Crash {
    fn new(at: Instant) -> Self {
        Self {
            at,
            suspects: BTreeSet::new(),
        }
    }
}

fn remove_oldest<K: Copy + Ord, V>(items: &mut BTreeMap<K, V>, at: impl Fn(&V) -> Instant) {
    let oldest = items.iter().min_by_key(|(_, item)| at(item));
    if let Some(key) = oldest.map(|(key, _)| *key) {
        items.remove(&key);
    }
}

/// Sorts items by time, the newest first, and keeps at most `limit`.
fn newest<T>(items: impl Iterator<Item = (Instant, T)>, limit: usize) -> Vec<(Instant, T)> {
    let mut items: Vec<(Instant, T)> = items.collect();
    items.sort_by_key(|(at, _)| Reverse(*at));
    items.truncate(limit);
    items
}
