//! Tests that entries which are cut off from each other hand a shared budget out once.

use std::time::{Duration, Instant};

use pistachioyard_policy::{Presence, SharedRetryBudget};
use pistachioyard_wire::EntryId;

/// The time in which an entry that runs shows in a list.
const SHOWS_WITHIN: Duration = Duration::from_secs(10);
const WINDOW: Duration = Duration::from_secs(10);
const SLACK: f64 = 200.0;
const SHARE: f64 = 0.2;
const STEP: Duration = Duration::from_millis(250);
const STEPS: u32 = 240;
/// The interval at which entries read the registrations.
const SYNC_STEPS: u32 = 16;
/// How long after its last heartbeat an entry counts as live.
const HEARD_FOR: Duration = Duration::from_secs(1);
/// The index of the entry that is cut off, or that the others lose.
const CUT_OFF: usize = 3;

fn entries() -> Vec<EntryId> {
    ["a", "b", "c", "d"]
        .map(|name| EntryId::try_from(name).expect("the id is valid"))
        .to_vec()
}

fn presence(own: &EntryId) -> Presence {
    Presence::new(own.clone(), WINDOW)
}

/// What entries know of each other at each step.
struct Play<'a> {
    /// Returns whether an entry is in the lists that are read at a step.
    listed: &'a dyn Fn(usize, u32) -> bool,
    /// Returns whether an entry can read lists at a step.
    reads: &'a dyn Fn(usize, u32) -> bool,
    /// Returns whether the first entry hears the second one.
    hears: &'a dyn Fn(usize, usize, u32) -> bool,
    /// The step at which an entry starts again.
    restart: Option<u32>,
}

impl Play<'_> {
    /// Returns the most retries in a window in a minute, and how many there are in all if all that
    /// the entries have is used from the begin on.
    ///
    /// Entries use nothing at first and all that they have later, from any step on.
    fn run(&self) -> (usize, usize) {
        let runs: Vec<(usize, usize)> = (0..STEPS).map(|from| self.run_from(from)).collect();
        let most = runs.iter().map(|(most, _)| *most).max();
        (most.unwrap_or_default(), runs[0].1)
    }

    fn run_from(&self, used_from: u32) -> (usize, usize) {
        let all = entries();
        let start = Instant::now();
        let mut presences: Vec<Presence> = all.iter().map(presence).collect();
        let new = |is_first| SharedRetryBudget::new(SHARE, SLACK, WINDOW, is_first);
        let mut budgets = vec![new(true); all.len()];
        let mut retries = Vec::new();
        for step in 0..STEPS {
            let now = start + STEP * step;
            if self.restart == Some(step) {
                presences = all.iter().map(presence).collect();
                budgets = vec![new(false); all.len()];
            }
            for own in 0..all.len() {
                let presence = &mut presences[own];
                if step % SYNC_STEPS == 0 && (self.reads)(own, step) {
                    let listed = (0..all.len()).filter(|other| (self.listed)(*other, step));
                    let listed: Vec<EntryId> = listed.map(|other| all[other].clone()).collect();
                    presence.note_registered(&listed, SHOWS_WITHIN, now);
                }
                let lag = (HEARD_FOR.as_millis() / STEP.as_millis()) as u32;
                let is_live = |other: &usize| {
                    let started = self.restart.filter(|restart| *restart <= step);
                    let recent = step.saturating_sub(lag).max(started.unwrap_or(0))..=step;
                    *other == own || recent.into_iter().any(|at| (self.hears)(own, *other, at))
                };
                let live = (0..all.len()).filter(is_live);
                presence.note_live(live.map(|other| all[other].clone()), now);
                budgets[own].rebalance(presence.parts(now), now);
                while step >= used_from && budgets[own].try_retry() {
                    retries.push(now);
                }
            }
        }
        let in_window = |from: &Instant| {
            let within = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
            retries.iter().filter(within).count()
        };
        let most = retries.iter().map(in_window).max().unwrap_or_default();
        (most, retries.len())
    }
}

const NOBODY_HEARS: &dyn Fn(usize, usize, u32) -> bool = &|_, _, _| false;
const ALWAYS: &dyn Fn(usize, u32) -> bool = &|_, _| true;

/// Guards against each side of a cut using the parts of the others.
#[test]
fn entries_that_do_not_hear_each_other_hand_the_retry_budget_out_once() {
    let (most, all) = Play {
        listed: ALWAYS,
        reads: ALWAYS,
        hears: NOBODY_HEARS,
        restart: None,
    }
    .run();
    assert!(most as f64 <= SLACK, "{most}");
    assert!(all as f64 >= 2.0 * SLACK, "{all}");
}

/// Guards against the same where each side removes the registrations of the others, and finds them
/// again in every second list.
#[test]
fn registrations_that_are_removed_and_written_again_still_count() {
    let (most, all) = Play {
        listed: &|other, step| step == 0 || (step / SYNC_STEPS + other as u32).is_multiple_of(2),
        reads: ALWAYS,
        hears: NOBODY_HEARS,
        restart: None,
    }
    .run();
    assert!(most as f64 <= SLACK, "{most}");
    assert!(all as f64 >= 2.0 * SLACK, "{all}");
}

/// Guards against an entry that is cut off from the store and all others, and keeps its part when
/// they divide the budget anew.
#[test]
fn a_side_that_is_cut_off_gives_its_part_up_before_the_others_take_it_over() {
    for cut_off in [&[CUT_OFF][..], &[2, CUT_OFF]] {
        let is_out = |entry: usize, step: u32| step >= 40 && cut_off.contains(&entry);
        let (most, all) = Play {
            listed: &|other, step| !is_out(other, step),
            reads: &|own, step| !is_out(own, step),
            hears: &|own, other, step| is_out(own, step) == is_out(other, step),
            restart: None,
        }
        .run();
        assert!(most as f64 <= SLACK, "{cut_off:?}: {most}");
        assert!(all as f64 >= 2.0 * SLACK, "{cut_off:?}: {all}");
    }
}

/// Guards against entries that are restarted while the store is away, hear nobody and each take
/// themselves for the only one.
#[test]
fn entries_that_have_read_no_list_take_no_part() {
    let is_away = |step: u32| (20..200).contains(&step);
    let (most, _) = Play {
        listed: ALWAYS,
        reads: &|_, step| !is_away(step),
        hears: &|_, _, step| !is_away(step),
        restart: Some(20),
    }
    .run();
    assert!(most as f64 <= SLACK, "{most}");
}

/// Guards against callers whose requests are not retried while the store is away and all entries
/// hear each other.
#[test]
fn entries_that_hear_each_other_keep_their_parts_while_the_store_is_away() {
    let (most, all) = Play {
        listed: ALWAYS,
        reads: &|_, step| step == 0,
        hears: &|_, _, _| true,
        restart: None,
    }
    .run();
    assert!(most as f64 <= SLACK, "{most}");
    assert!(all as f64 >= 2.0 * SLACK, "{all}");
}

/// Guards against an entry without a part that retries nothing, or saves up too much.
#[test]
fn an_entry_without_a_part_retries_a_share_of_its_own_requests() {
    let now = Instant::now();
    let mut budget = SharedRetryBudget::new(SHARE, SLACK, WINDOW, false);
    budget.rebalance(None, now);
    (0..1_000).for_each(|_| budget.on_first_try());
    let saved = (0..1_000).filter(|_| budget.try_retry()).count();
    assert!((1..=4).contains(&saved), "{saved}");
    let tried = (0..100).filter(|_| {
        budget.on_first_try();
        budget.try_retry()
    });
    let retries = tried.count();
    assert!((15..=20).contains(&retries), "{retries}");
}

/// Guards against parts of the budget that nobody uses after entries have gone for good.
#[test]
fn an_entry_that_is_gone_is_dropped() {
    let all = entries();
    let start = Instant::now();
    let mut presence = presence(&all[0]);
    presence.note_registered(&all, SHOWS_WITHIN, start);
    assert_eq!(presence.parts(start), Some(4));
    let later = start + SHOWS_WITHIN + WINDOW + STEP;
    presence.note_registered(&all[..3], SHOWS_WITHIN, later);
    assert_eq!(presence.parts(later), Some(3));
}

/// Guards against an entry that hears nobody and takes itself for the only one.
#[test]
fn an_entry_without_the_store_drops_nobody() {
    let all = entries();
    let start = Instant::now();
    let mut presence = presence(&all[0]);
    presence.note_registered(&all, SHOWS_WITHIN, start);
    let later = start + SHOWS_WITHIN * 20;
    presence.note_live([all[0].clone()], later);
    assert_eq!(presence.parts(later), None);
    presence.note_live(all.clone(), later);
    assert_eq!(presence.parts(later), Some(4));
}
