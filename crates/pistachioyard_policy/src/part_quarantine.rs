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
mod writing_time;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, PromptPart};

use explanation::{ObservedCrash, find_culprits};
pub use report::PartFindings;
pub use writing_time::{PROOF_WRITING_TIME, WritingTime};

/// How long a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(120);
/// How long a part that was sound is no suspect.
const PROOF_TTL: Duration = Duration::from_secs(180);
/// How long requests with a convicted part are refused.
const HOLD: Duration = Duration::from_secs(600);
/// How long a conviction is kept, so that a single crash after the hold renews it.
const CONVICTION_TTL: Duration = Duration::from_secs(3_600);
/// The maximum numbers of items kept; the oldest are forgotten first.
const MAX_LOSSES: usize = 64;
const MAX_CRASHES: usize = 64;
const MAX_PARTS_PER_CRASH: usize = 256;
const MAX_SOUND_PARTS: usize = 4_096;
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
    /// The newest proof that each part is sound.
    sound: BTreeMap<PromptPart, Instant>,
    /// The time of each conviction.
    convicted: BTreeMap<PromptPart, Instant>,
    /// The parts that were convicted and turned out to be sound, with the time of the proof.
    acquitted: BTreeMap<PromptPart, Instant>,
}

impl PartQuarantine {
    /// Records that an endpoint run lost a request with these parts, which may be a crash.
    ///
    /// For the first loss of a run, the caller probes the endpoint and then calls
    /// [`PartQuarantine::confirm_crash`] or [`PartQuarantine::dismiss_loss`]. A request without
    /// suspects explains no crash, so its loss calls for no probe.
    pub fn record_loss(&mut self, run: BootId, parts: &[PromptPart], now: Instant) -> LossCheck {
        if parts.iter().all(|part| self.is_sound(*part, now)) {
            return LossCheck::Known;
        }
        if let Some(crash) = self.crashes.get_mut(&run) {
            crash.add(parts);
            return LossCheck::Known;
        }
        let is_new = !self.losses.contains_key(&run);
        if is_new && self.losses.len() >= MAX_LOSSES {
            remove_oldest(&mut self.losses, |loss| loss.at);
        }
        let loss = self.losses.entry(run).or_insert_with(|| Crash::new(now));
        loss.add(parts);
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
            if !self.sound.contains_key(part) && self.sound.len() >= MAX_SOUND_PARTS {
                remove_oldest(&mut self.sound, |proved_at| *proved_at);
            }
            let proved_at = self.sound.entry(*part).or_insert(now);
            *proved_at = now.max(*proved_at);
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
        for part in loss.suspects {
            crash.add(&[part]);
        }
    }

    /// Returns whether a part is no suspect in a crash at `at`. A proof also counts for crashes
    /// before it.
    fn is_sound(&self, part: PromptPart, at: Instant) -> bool {
        let proved_at = self.sound.get(&part);
        proved_at.is_some_and(|proved_at| at.saturating_duration_since(*proved_at) < PROOF_TTL)
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
                    .filter(|part| !self.is_sound(*part, crash.at))
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
                    && !self.is_sound(*part, crash.at)
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
        self.sound
            .retain(|_, proved_at| is_within(*proved_at, PROOF_TTL));
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

    fn add(&mut self, parts: &[PromptPart]) {
        let room = MAX_PARTS_PER_CRASH.saturating_sub(self.suspects.len());
        self.suspects.extend(parts.iter().take(room));
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
