//! Tests that a request that crashes endpoints is quarantined and its bystanders are not.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_policy::{Quarantine, QuarantineVerdict, SuspectReservations};
use pistachioyard_wire::{BootId, EndpointId, RequestDigest};
use uuid::Uuid;

const HOLD: Duration = Duration::from_secs(600);
/// The number of marks in a message.
const MAX_MARKS: usize = 16;
const POISON: RequestDigest = RequestDigest(1);
const BYSTANDERS: [RequestDigest; 2] = [RequestDigest(2), RequestDigest(3)];

fn boot(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

fn is_quarantined(quarantine: &Quarantine, digest: RequestDigest, now: Instant) -> bool {
    matches!(
        quarantine.verdict(digest, now),
        QuarantineVerdict::Quarantined { .. }
    )
}

#[test]
fn the_second_crash_quarantines_the_one_that_was_in_both() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(HOLD);
    let everyone = [POISON, BYSTANDERS[0], BYSTANDERS[1]];
    quarantine.record_crash(&everyone, boot(1), now);
    quarantine.record_crash(&everyone, boot(1), now);
    for digest in everyone {
        assert_eq!(
            quarantine.verdict(digest, now),
            QuarantineVerdict::Suspect { crashes: 1 }
        );
    }
    quarantine.record_crash(&[POISON, RequestDigest(9)], boot(2), now);
    assert!(is_quarantined(&quarantine, POISON, now));
    for digest in [BYSTANDERS[0], BYSTANDERS[1], RequestDigest(9)] {
        assert_eq!(
            quarantine.verdict(digest, now),
            QuarantineVerdict::Suspect { crashes: 1 }
        );
    }
    quarantine.record_completion(BYSTANDERS[0], now);
    assert_eq!(
        quarantine.verdict(BYSTANDERS[0], now),
        QuarantineVerdict::Clear
    );
    assert_eq!(
        quarantine.verdict(POISON, now + HOLD),
        QuarantineVerdict::Clear
    );
}

#[test]
fn suspects_that_shared_both_crashes_are_told_apart_by_the_next_event() {
    let now = Instant::now();
    let both = [POISON, BYSTANDERS[0]];
    let mut shared = Quarantine::new(HOLD);
    shared.record_crash(&both, boot(1), now);
    shared.record_crash(&both, boot(2), now);
    assert_eq!(
        shared.verdict(POISON, now),
        QuarantineVerdict::Suspect { crashes: 2 }
    );

    let mut by_crash = shared.clone();
    by_crash.record_crash(&[POISON], boot(3), now);
    let mut by_completion = shared;
    by_completion.record_completion(BYSTANDERS[0], now);
    for quarantine in [by_crash, by_completion] {
        assert!(is_quarantined(&quarantine, POISON, now));
        assert!(!is_quarantined(&quarantine, BYSTANDERS[0], now));
    }
}

#[test]
fn two_entries_quarantine_together_and_marks_neither_outlive_the_hold_time_nor_undo_clearing() {
    let now = Instant::now();
    let mut one = Quarantine::new(HOLD);
    let mut two = Quarantine::new(HOLD);
    one.record_crash(&[POISON, BYSTANDERS[0]], boot(1), now);
    two.record_crash(&[POISON, BYSTANDERS[1]], boot(2), now);
    one.merge(&two.marks(now), now);
    two.merge(&one.marks(now), now);
    for entry in [&one, &two] {
        assert!(is_quarantined(entry, POISON, now));
        assert!(BYSTANDERS.iter().all(|b| !is_quarantined(entry, *b, now)));
    }
    one.record_completion(BYSTANDERS[0], now);
    let later = now + HOLD / 2;
    one.merge(&two.marks(later), later);
    assert_eq!(one.verdict(BYSTANDERS[0], later), QuarantineVerdict::Clear);
    let end = now + HOLD;
    two.merge(&one.marks(end - Duration::from_nanos(1)), end);
    two.expire(end);
    assert!(two.marks(end).is_empty());
    assert_eq!(two.verdict(POISON, end), QuarantineVerdict::Clear);
}

#[test]
fn suspects_share_no_endpoint_and_run_once_at_a_time() {
    let endpoint = |name| EndpointId::try_from(name).unwrap();
    let (a, b, c) = (endpoint("a"), endpoint("b"), endpoint("c"));
    let mut reservations = SuspectReservations::default();
    assert!(reservations.reserve(POISON, &[a.clone(), b.clone()]));
    assert!(!reservations.reserve(POISON, std::slice::from_ref(&c)));
    assert!(!reservations.reserve(BYSTANDERS[0], &[b, c.clone()]));
    assert!(reservations.reserve(BYSTANDERS[0], std::slice::from_ref(&c)));
    reservations.release(POISON);
    assert_eq!(reservations.reserved_endpoints(), [c].into());
    assert!(reservations.reserve(BYSTANDERS[1], &[a]));
}

/// Where suspects are not isolated, a bystander can be in two crashes.
#[test]
fn without_lanes_only_three_crashes_convict() {
    let now = Instant::now();
    let mut quarantine = Quarantine::without_isolation(Duration::from_secs(60));
    let request = RequestDigest(7);
    for crashes in 1..=3 {
        assert!(
            !matches!(
                quarantine.verdict(request, now),
                QuarantineVerdict::Quarantined { .. }
            ),
            "{crashes}"
        );
        quarantine.record_crash(&[request], BootId::generate(), now);
    }
    assert!(matches!(
        quarantine.verdict(request, now),
        QuarantineVerdict::Quarantined { .. }
    ));
    quarantine.record_completion(request, now);
    assert_eq!(quarantine.verdict(request, now), QuarantineVerdict::Clear);
}

#[test]
fn quarantined_requests_and_new_crashes_are_not_left_out_of_a_short_message() {
    let start = Instant::now();
    let mut quarantine = Quarantine::without_isolation(HOLD);
    let culprit = RequestDigest(u64::MAX);
    for number in 0..3 {
        quarantine.record_crash(&[culprit], boot(number), start);
    }
    for number in 0..100 {
        let at = start + Duration::from_secs(1 + number);
        quarantine.record_crash(&[RequestDigest(number)], boot(10), at);
    }
    let marks = quarantine.marks(start + Duration::from_secs(200));
    let first: Vec<RequestDigest> = marks.iter().take(3).map(|mark| mark.digest).collect();
    assert_eq!(first, [culprit, RequestDigest(99), RequestDigest(98)]);
}

/// A request that comes again after each hold, at any entry, would crash two endpoints each time.
#[test]
fn a_request_that_comes_seldom_is_refused_after_three_crashes() {
    let hold = Duration::from_secs(15);
    let mut entries = [(); 4].map(|()| Quarantine::without_isolation(hold));
    let start = Instant::now();
    let (mut crashes, mut number) = (0, 0);
    for second in 0..120 {
        let now = start + Duration::from_secs(second);
        if second % 20 == 0 {
            let entry = &mut entries[second as usize / 20 % 4];
            for _ in 0..2 {
                if is_quarantined(entry, POISON, now) {
                    break;
                }
                // The endpoint's other requests are lost with it, and complete elsewhere.
                let bystanders =
                    (0..40).map(|other| RequestDigest(1_000 + number as u64 * 40 + other));
                let running: Vec<RequestDigest> = bystanders.chain([POISON]).collect();
                entry.record_crash(&running, boot(number), now);
                number += 1;
                crashes += 1;
            }
        }
        let marks = entries
            .each_mut()
            .map(|entry| entry.marks_to_tell(MAX_MARKS, now));
        for entry in &mut entries {
            for marks in &marks {
                entry.merge(marks, now);
            }
        }
    }
    assert!(crashes <= 4, "{crashes}");
}

/// Guards against suspects that are not told because many other requests were lost and answered.
#[test]
fn entries_count_the_crashes_of_a_request_together_beside_many_cleared_ones() {
    let start = Instant::now();
    let mut entries = [(); 4].map(|()| Quarantine::without_isolation(HOLD));
    for (number, entry) in entries.iter_mut().enumerate() {
        // Fewer than a mark holds, of a crash that other endpoints made up for.
        for bystander in 0..60 {
            let digest = RequestDigest(1_000 * (number as u64 + 1) + bystander);
            entry.record_crash(&[digest], boot(100 + number as u128), start);
            entry.record_completion(digest, start);
        }
    }
    let mut now = start;
    exchange(&mut entries, &mut now, Duration::from_secs(10));
    for number in 0..3 {
        entries[number].record_crash(&[POISON], boot(number as u128), now);
        exchange(&mut entries, &mut now, Duration::from_secs(1));
    }
    for entry in &entries {
        assert!(is_quarantined(entry, POISON, now));
    }
}

/// Guards against marks that are never told because those before them do not change any more.
#[test]
fn all_marks_are_told_in_turn() {
    let start = Instant::now();
    let mut entry = Quarantine::without_isolation(HOLD);
    for number in 0..200 {
        let digest = RequestDigest(number);
        for run in 0..3 {
            entry.record_crash(&[digest], boot(run), start);
        }
    }
    let mut told = BTreeSet::new();
    for _ in 0..7 * 200_usize.div_ceil(MAX_MARKS) {
        let marks = entry.marks_to_tell(MAX_MARKS, start);
        told.extend(marks.into_iter().map(|mark| mark.digest));
    }
    assert_eq!(told.len(), 200);
}

/// Guards against messages that peers do not read because they are too long.
#[test]
fn a_message_holds_a_bounded_number_of_runs() {
    let start = Instant::now();
    let mut entry = Quarantine::without_isolation(HOLD);
    for number in 0..100 {
        let digest = RequestDigest(number);
        for run in 0..40 {
            entry.record_crash(&[digest], boot(run), start);
            entry.record_completion(digest, start);
        }
    }
    let marks = entry.marks_to_tell(MAX_MARKS, start);
    assert!(!marks.is_empty());
    let runs: usize = marks
        .iter()
        .map(|m| m.crashed.len() + m.cleared.len())
        .sum();
    assert!(runs <= 256, "{runs}");
}

/// Lets entries tell each other of their marks every quarter of a second.
fn exchange(entries: &mut [Quarantine], now: &mut Instant, time: Duration) {
    let end = *now + time;
    while *now < end {
        *now += Duration::from_millis(250);
        let told: Vec<_> = entries
            .iter_mut()
            .map(|entry| entry.marks_to_tell(MAX_MARKS, *now))
            .collect();
        for entry in entries.iter_mut() {
            for marks in &told {
                entry.merge(marks, *now);
            }
        }
    }
}
