//! Tests of losses of which it is not known at once whether they were crashes.

use std::time::{Duration, Instant};

use pistachioyard_policy::{Quarantine, QuarantineVerdict, UNDECIDED_TTL};
use pistachioyard_wire::{BootId, RequestDigest};
use uuid::Uuid;

const HOLD: Duration = Duration::from_secs(15);
const REQUEST: RequestDigest = RequestDigest(1);
const OTHER: RequestDigest = RequestDigest(2);

fn run(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

/// Returns the quarantine of an entry that lost the request at three runs.
fn after_three_losses(now: Instant) -> Quarantine {
    let mut quarantine = Quarantine::without_isolation(HOLD);
    for number in 1..=3 {
        quarantine.record_loss(REQUEST, run(number), now);
    }
    quarantine
}

fn is_refused(quarantine: &Quarantine, now: Instant) -> bool {
    matches!(
        quarantine.verdict(REQUEST, now),
        QuarantineVerdict::Quarantined { .. }
    )
}

#[test]
fn losses_refuse_no_request_until_their_runs_have_ended() {
    let now = Instant::now();
    let mut quarantine = after_three_losses(now);
    assert!(!is_refused(&quarantine, now));
    assert!(quarantine.awaits_decision(REQUEST, now));
    quarantine.record_end(run(1), now);
    quarantine.record_end(run(2), now);
    assert!(!is_refused(&quarantine, now));
    let (counted, refused) = quarantine.record_end(run(3), now);
    assert_eq!((counted, refused), (vec![REQUEST], vec![REQUEST]));
    assert!(is_refused(&quarantine, now));
}

/// A cut breaks connections to endpoints that go on.
#[test]
fn a_run_that_goes_on_counts_against_no_request() {
    let now = Instant::now();
    let mut quarantine = after_three_losses(now);
    quarantine.dismiss_loss(REQUEST, run(2));
    assert!(!quarantine.awaits_decision(REQUEST, now));
    for number in 1..=3 {
        quarantine.record_end(run(number), now);
    }
    assert_eq!(quarantine.count_crashes(REQUEST), 2);
}

/// A run that goes on after one lost answer may still crash under the next request.
#[test]
fn a_run_that_went_on_counts_when_it_ends_under_a_later_request() {
    let now = Instant::now();
    let mut quarantine = Quarantine::without_isolation(HOLD);
    quarantine.record_loss(REQUEST, run(1), now);
    quarantine.dismiss_loss(REQUEST, run(1));
    quarantine.record_loss(REQUEST, run(1), now);
    quarantine.record_end(run(1), now);
    assert_eq!(quarantine.count_crashes(REQUEST), 1);
}

#[test]
fn a_request_that_completes_before_the_decision_is_not_blamed() {
    let now = Instant::now();
    let mut quarantine = after_three_losses(now);
    quarantine.record_completion(REQUEST, now);
    assert!(!quarantine.awaits_decision(REQUEST, now));
    for number in 1..=3 {
        quarantine.record_end(run(number), now);
    }
    assert_eq!(quarantine.count_crashes(REQUEST), 0);
}

#[test]
fn a_loss_that_is_not_decided_in_time_counts_against_no_request() {
    let now = Instant::now();
    let mut quarantine = after_three_losses(now);
    let later = now + UNDECIDED_TTL;
    assert!(!quarantine.awaits_decision(REQUEST, later));
    quarantine.record_end(run(1), later);
    assert_eq!(quarantine.count_crashes(REQUEST), 0);
}

/// An entry may be killed before it knows what became of the runs.
#[test]
fn losses_at_different_entries_come_together_and_outlive_the_entry() {
    let now = Instant::now();
    let mut entries: Vec<Quarantine> = Vec::new();
    for number in 1..=3 {
        let mut quarantine = Quarantine::without_isolation(HOLD);
        quarantine.record_loss(REQUEST, run(number), now);
        quarantine.record_loss(OTHER, run(number), now);
        entries.push(quarantine);
    }
    let lost = entries.remove(0);
    let marks: Vec<_> = [lost]
        .iter()
        .chain(&entries)
        .flat_map(|e| e.marks(now))
        .collect();
    let survivor = &mut entries[0];
    survivor.merge(&marks, now);
    assert!(survivor.awaits_decision(REQUEST, now));
    for number in 1..=3 {
        survivor.record_end(run(number), now);
    }
    assert!(is_refused(survivor, now));
}

/// What an entry has heard of a peer's losses it does not tell on, so they do not go round.
#[test]
fn losses_are_told_only_by_the_entry_that_had_them() {
    let now = Instant::now();
    let marks = after_three_losses(now).marks(now);
    assert_eq!(marks[0].undecided.len(), 3);
    let mut peer = Quarantine::without_isolation(HOLD);
    peer.merge(&marks, now);
    assert!(peer.awaits_decision(REQUEST, now));
    assert!(peer.marks(now).is_empty());
    let aged = marks.into_iter().map(|mut mark| {
        for (_, age_ms) in &mut mark.undecided {
            *age_ms = UNDECIDED_TTL.as_millis() as u64;
        }
        mark
    });
    let mut later = Quarantine::without_isolation(HOLD);
    later.merge(&aged.collect::<Vec<_>>(), now);
    assert!(!later.awaits_decision(REQUEST, now));
}
