//! Tests that entries which are cut off from each other hand a shared budget out once.

use std::time::{Duration, Instant};

use pistachioyard_policy::{Presence, SharedRetryBudget};
use pistachioyard_wire::EntryId;

/// The time after which an entry that was neither heard nor registered is dropped.
const MAX_AGE: Duration = Duration::from_secs(20);
const WINDOW: Duration = Duration::from_secs(10);
const SLACK: f64 = 200.0;
const STEP: Duration = Duration::from_millis(250);
/// The interval at which entries read the registrations.
const SYNC_STEPS: u32 = 16;

fn entries() -> Vec<EntryId> {
    ["a", "b", "c", "d"]
        .map(|name| EntryId::try_from(name).expect("the id is valid"))
        .to_vec()
}

/// Returns the most retries in a window while entries are cut off from each other for a minute and
/// use all that they have; `registered` tells whether entries are listed at a step.
fn most_retries_while_cut_off(registered: impl Fn(usize, u32) -> bool) -> usize {
    let all = entries();
    let start = Instant::now();
    let mut presences = vec![Presence::default(); all.len()];
    let mut budgets = vec![SharedRetryBudget::new(0.2, SLACK, WINDOW, true, start); all.len()];
    for presence in &mut presences {
        presence.note_registered(&all, MAX_AGE, start);
    }
    let mut retries = Vec::new();
    for step in 1..240 {
        let now = start + STEP * step;
        for (own, (presence, budget)) in presences.iter_mut().zip(&mut budgets).enumerate() {
            presence.note_heard(&all[own], now);
            if step % SYNC_STEPS == 0 {
                let listed: Vec<EntryId> = all
                    .iter()
                    .enumerate()
                    .filter(|(other, _)| registered(*other, step / SYNC_STEPS))
                    .map(|(_, entry)| entry.clone())
                    .collect();
                presence.note_registered(&listed, MAX_AGE, now);
            }
            budget.rebalance(presence.count(), now);
            while budget.try_retry() {
                retries.push(now);
            }
        }
    }
    let in_window = |from: &Instant| {
        let within = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
        retries.iter().filter(within).count()
    };
    retries.iter().map(in_window).max().unwrap_or_default()
}

/// Guards against each side of a cut using the parts of the others.
#[test]
fn entries_that_do_not_hear_each_other_hand_the_retry_budget_out_once() {
    let retries = most_retries_while_cut_off(|_, _| true);
    assert!(retries as f64 <= SLACK, "{retries}");
}

/// Guards against the same where each side removes the registrations of the others, and finds them
/// again in every second list.
#[test]
fn registrations_that_are_removed_and_written_again_still_count() {
    let retries = most_retries_while_cut_off(|other, sync| (sync + other as u32).is_multiple_of(2));
    assert!(retries as f64 <= SLACK, "{retries}");
}

/// Guards against parts of the budget that nobody uses after entries have gone for good.
#[test]
fn an_entry_that_is_gone_is_dropped() {
    let all = entries();
    let start = Instant::now();
    let mut presence = Presence::default();
    presence.note_registered(&all, MAX_AGE, start);
    let later = start + MAX_AGE + STEP;
    presence.note_registered(&all[..3], MAX_AGE, later);
    assert_eq!(presence.count(), 3);
}

/// Guards against an entry that hears nobody and takes itself for the only one.
#[test]
fn an_entry_without_the_store_drops_nobody() {
    let all = entries();
    let start = Instant::now();
    let mut presence = Presence::default();
    presence.note_registered(&all, MAX_AGE, start);
    presence.note_heard(&all[0], start + MAX_AGE * 10);
    assert_eq!(presence.count(), 4);
}
