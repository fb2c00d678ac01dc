//! Finds the smallest explanation of crashes: the parts that may have caused them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, PromptPart};

use super::PartConviction;

/// The bursts of crashes that a part must explain to be convicted. Endpoints that are lost
/// together are one burst, since something else may have ended them.
const BURSTS_TO_CONVICT: usize = 3;
/// The crashes after which parts that explain equally many are convicted together.
const CRASHES_TO_CONVICT_EQUALS: usize = 5;
/// How long a conviction is put off where other parts are in several crashes too. Meanwhile
/// requests with the sound ones show that they are.
const DOUBT_TIME: Duration = Duration::from_millis(2_000);
/// The most crashes that another part may be in without casting doubt.
const CRASHES_WITHOUT_DOUBT: usize = 1;
/// The time from the first crash of a burst within which others belong to it.
const BURST_SPAN: Duration = Duration::from_millis(250);
/// The crashes in one burst from which on something else may have ended the endpoints.
const CRASHES_OF_JOINT_LOSS: usize = 3;
/// By how many explained crashes more a part must have been in to be popular rather than bad.
const POPULAR_MARGIN: usize = 3;
/// The share of the crashes, and of the bursts, that one part must explain, in percent. If
/// none does, two parts that explain them together are looked for.
const MIN_SHARE_OF_ONE: usize = 75;
/// The number of parts, those in the most crashes, that are considered in pairs.
const MAX_PAIRED: usize = 24;

/// Holds a crash and the parts that may have caused it.
pub(super) struct ObservedCrash {
    pub(super) run: BootId,
    pub(super) at: Instant,
    pub(super) suspects: Vec<PromptPart>,
    /// Whether a convicted part is a suspect in it.
    pub(super) is_explained: bool,
}

/// Holds a crash that is to be explained, and the number of its burst.
struct Unexplained {
    burst: u32,
    crash: ObservedCrash,
}

/// Holds what a part would explain.
#[derive(Clone, Debug, Default)]
struct Suspicion {
    /// A bit for each crash.
    crashes: u64,
    runs: Vec<BootId>,
}

/// Holds the crashes to explain, the oldest first.
struct Evidence {
    /// The number of the burst and the time of each crash.
    crashes: Vec<(u32, Instant)>,
    now: Instant,
    by_part: BTreeMap<PromptPart, Suspicion>,
    /// The number of explained crashes that each part was in as well.
    explained: BTreeMap<PromptPart, usize>,
}

impl Evidence {
    /// Collects the newest crashes that are to be explained, as many as there are bits.
    fn collect(observed: Vec<ObservedCrash>, now: Instant) -> Self {
        let mut explained = BTreeMap::<PromptPart, usize>::new();
        for crash in observed.iter().filter(|crash| crash.is_explained) {
            for part in &crash.suspects {
                *explained.entry(*part).or_default() += 1;
            }
        }
        let mut unexplained = select_unexplained(observed);
        let first = unexplained.len().saturating_sub(u64::BITS as usize);
        let mut by_part = BTreeMap::<PromptPart, Suspicion>::new();
        let mut crashes = Vec::with_capacity(unexplained.len());
        for (index, Unexplained { burst, crash }) in unexplained.drain(first..).enumerate() {
            crashes.push((burst, crash.at));
            for part in crash.suspects {
                let suspicion = by_part.entry(part).or_default();
                suspicion.crashes |= 1 << index;
                suspicion.runs.push(crash.run);
            }
        }
        Self {
            crashes,
            now,
            by_part,
            explained,
        }
    }

    /// Returns the burst and the time of each of these crashes, the oldest first.
    fn select(&self, crashes: u64) -> impl Iterator<Item = (u32, Instant)> {
        let listed = self.crashes.iter().enumerate();
        let listed = listed.filter(move |(index, _)| crashes & (1 << index) != 0);
        listed.map(|(_, crash)| *crash)
    }

    /// Returns whether the doubts about parts that are in these crashes have had time to be
    /// cleared since there were `enough` of them.
    fn is_settled(&self, crashes: u64, enough: usize) -> bool {
        let nth = self.select(crashes).nth(enough - 1);
        nth.is_some_and(|(_, at)| self.now >= at + DOUBT_TIME)
    }

    /// Returns whether endpoints were lost together in one of these crashes.
    fn has_joint_loss(&self, crashes: u64) -> bool {
        let mut bursts = self.select(crashes).map(|(burst, _)| burst);
        bursts.any(|burst| {
            let in_burst = self.crashes.iter().filter(|(other, _)| *other == burst);
            in_burst.count() >= CRASHES_OF_JOINT_LOSS
        })
    }

    /// Removes the parts that were in far more of the explained crashes than others: they are
    /// popular, so that they are in many crashes by chance.
    fn remove_popular(&self, parts: &mut Vec<PromptPart>) {
        let count = |part: &PromptPart| self.explained.get(part).copied().unwrap_or_default();
        if let Some(fewest) = parts.iter().map(count).min() {
            parts.retain(|part| count(part) < fewest + POPULAR_MARGIN);
        }
    }

    /// Counts the bursts that these crashes belong to.
    fn count_bursts(&self, crashes: u64) -> usize {
        let bursts: BTreeSet<u32> = self.select(crashes).map(|(burst, _)| burst).collect();
        bursts.len()
    }

    /// Returns whether crashes are most of those to explain, and belong to most bursts.
    fn are_most(&self, crashes: u64) -> bool {
        let bursts = self.count_bursts(u64::MAX);
        crashes.count_ones() as usize * 100 >= self.crashes.len() * MIN_SHARE_OF_ONE
            && self.count_bursts(crashes) * 100 >= bursts * MIN_SHARE_OF_ONE
    }
}

/// Returns the parts that explain the crashes, if there are enough of them for a conviction.
///
/// At most 64 unexplained crashes are considered, the newest.
pub(super) fn find_culprits(observed: Vec<ObservedCrash>, now: Instant) -> Vec<PartConviction> {
    let evidence = Evidence::collect(observed, now);
    let culprits = match find_one(&evidence) {
        Some(ones) if !ones.is_empty() => find_in_better_pairs(&evidence, &ones).unwrap_or(ones),
        Some(none_yet) => none_yet,
        None => find_pair(&evidence),
    };
    let convictions = culprits.into_iter().map(|part| PartConviction {
        part,
        crashed: evidence.by_part[&part].runs.clone(),
    });
    convictions.collect()
}

/// Returns the crashes that are to be explained, the oldest first: those with suspects and
/// without a convicted part.
fn select_unexplained(mut observed: Vec<ObservedCrash>) -> Vec<Unexplained> {
    observed.sort_by_key(|crash| (crash.at, crash.run));
    let mut bursts: Vec<Vec<ObservedCrash>> = Vec::new();
    for crash in observed {
        match bursts.last_mut() {
            Some(burst) if crash.at < burst[0].at + BURST_SPAN => burst.push(crash),
            _ => bursts.push(vec![crash]),
        }
    }
    let numbered = (0..).zip(bursts);
    let crashes = numbered.flat_map(|(burst, crashes)| {
        let crashes = crashes.into_iter();
        crashes.map(move |crash| Unexplained { burst, crash })
    });
    crashes
        .filter(|Unexplained { crash, .. }| !crash.is_explained && !crash.suspects.is_empty())
        .collect()
}

/// Returns the part that explains most crashes, or none yet if there are not enough of them;
/// `None` if no part explains most.
///
/// Parts that explain equally many are returned together in the end.
fn find_one(evidence: &Evidence) -> Option<Vec<PromptPart>> {
    let rank = |suspicion: &Suspicion| {
        let bursts = evidence.count_bursts(suspicion.crashes);
        (bursts, suspicion.runs.len())
    };
    let suspicions = evidence.by_part.iter();
    let ranked: Vec<_> = suspicions
        .map(|(part, suspicion)| (rank(suspicion), *part, suspicion.crashes))
        .collect();
    let most = ranked.iter().map(|(rank, ..)| *rank).max()?;
    let top: Vec<_> = ranked.iter().filter(|(rank, ..)| *rank == most).collect();
    if !top
        .iter()
        .any(|(_, _, crashes)| evidence.are_most(*crashes))
    {
        return None;
    }
    let (bursts, _) = most;
    let enough = match top.len() {
        1 => BURSTS_TO_CONVICT,
        _ => CRASHES_TO_CONVICT_EQUALS,
    };
    let doubtful = ranked
        .iter()
        .filter(|((_, crashes), ..)| *crashes > CRASHES_WITHOUT_DOUBT);
    let is_clear = doubtful.count() == 1
        && !top
            .iter()
            .any(|(_, _, crashes)| evidence.has_joint_loss(*crashes));
    let is_settled = top
        .iter()
        .all(|(_, _, crashes)| evidence.is_settled(*crashes, enough));
    if bursts < BURSTS_TO_CONVICT || !(is_clear || is_settled) {
        return Some(Vec::new());
    }
    let mut culprits = top.into_iter().map(|(_, part, _)| *part).collect();
    evidence.remove_popular(&mut culprits);
    Some(culprits)
}

/// Returns the parts that belong to all pairs without `ones` that explain the most crashes;
/// `None` if they explain no more than `ones`, or less than a pair with one of these.
///
/// A sound part that is in most requests may explain more than each of two bad ones.
fn find_in_better_pairs(evidence: &Evidence, ones: &[PromptPart]) -> Option<Vec<PromptPart>> {
    let explained = |part: &PromptPart| evidence.by_part[part].crashes;
    let by_ones = ones.iter().map(explained).fold(0, |all, by| all | by);
    let ranked = rank_for_pairs(evidence);
    let (mut most_with, mut most_without) = (0, by_ones.count_ones());
    let mut common: Option<BTreeSet<PromptPart>> = None;
    for (index, (one, by_one)) in ranked.iter().enumerate() {
        for (other, by_other) in &ranked[index + 1..] {
            let by_both = (by_one | by_other).count_ones();
            let pair = BTreeSet::from([*one, *other]);
            if ones.iter().any(|part| pair.contains(part)) {
                most_with = most_with.max(by_both);
            } else if by_both > most_without {
                most_without = by_both;
                common = Some(pair);
            } else if by_both == most_without {
                common = common.map(|common| &common & &pair);
            }
        }
    }
    let common = common.filter(|_| most_without >= most_with)?;
    let culprits = common.into_iter().filter(|part| {
        let crashes = explained(part);
        evidence.count_bursts(crashes) >= BURSTS_TO_CONVICT
            && evidence.is_settled(crashes, BURSTS_TO_CONVICT)
    });
    Some(culprits.collect())
}

/// Returns the parts that are considered in pairs, those in the most crashes first.
fn rank_for_pairs(evidence: &Evidence) -> Vec<(PromptPart, u64)> {
    let mut ranked: Vec<(PromptPart, u64)> = evidence
        .by_part
        .iter()
        .map(|(part, suspicion)| (*part, suspicion.crashes))
        .collect();
    ranked.sort_by_key(|(part, crashes)| (Reverse(crashes.count_ones()), *part));
    ranked.truncate(MAX_PAIRED);
    ranked
}

/// Returns the parts that belong to all pairs that explain the most crashes, if each of them
/// explains enough that the other does not.
fn find_pair(evidence: &Evidence) -> Vec<PromptPart> {
    let ranked = rank_for_pairs(evidence);
    let mut most = 0;
    let mut common: Option<BTreeSet<PromptPart>> = None;
    for (index, (one, by_one)) in ranked.iter().enumerate() {
        for (other, by_other) in &ranked[index + 1..] {
            let explained = (by_one | by_other).count_ones();
            if explained < most {
                continue;
            }
            if explained > most {
                most = explained;
                common = None;
            }
            let needed = [(one, by_one & !by_other), (other, by_other & !by_one)];
            let needed = needed.into_iter().filter_map(|(part, alone)| {
                let is_enough = evidence.count_bursts(alone) >= BURSTS_TO_CONVICT
                    && evidence.is_settled(alone, BURSTS_TO_CONVICT);
                is_enough.then_some(*part)
            });
            let needed: BTreeSet<PromptPart> = needed.collect();
            common = Some(match common {
                Some(common) => &common & &needed,
                None => needed,
            });
        }
    }
    common.unwrap_or_default().into_iter().collect()
}
