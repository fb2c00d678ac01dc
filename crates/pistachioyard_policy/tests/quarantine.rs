//! A request that crashes endpoints is convicted; its bystanders are not.

use std::time::{Duration, Instant};

use pistachioyard_policy::{Quarantine, SuspectLanes, Verdict};
use pistachioyard_wire::{BootId, EndpointId, RequestDigest};
use uuid::Uuid;

const HOLD: Duration = Duration::from_secs(600);
const POISON: RequestDigest = RequestDigest(1);
const BYSTANDERS: [RequestDigest; 2] = [RequestDigest(2), RequestDigest(3)];

fn boot(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

fn is_convicted(quarantine: &Quarantine, digest: RequestDigest, now: Instant) -> bool {
    matches!(quarantine.verdict(digest, now), Verdict::Convicted { .. })
}

#[test]
fn the_second_crash_convicts_the_one_that_was_in_both() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new(HOLD);
    let everyone = [POISON, BYSTANDERS[0], BYSTANDERS[1]];
    quarantine.crashed(&everyone, boot(1), now);
    quarantine.crashed(&everyone, boot(1), now);
    for digest in everyone {
        assert_eq!(
            quarantine.verdict(digest, now),
            Verdict::Suspect { crashes: 1 }
        );
    }
    quarantine.crashed(&[POISON, RequestDigest(9)], boot(2), now);
    assert!(is_convicted(&quarantine, POISON, now));
    for digest in [BYSTANDERS[0], BYSTANDERS[1], RequestDigest(9)] {
        assert_eq!(
            quarantine.verdict(digest, now),
            Verdict::Suspect { crashes: 1 }
        );
    }
    quarantine.cleared(BYSTANDERS[0]);
    assert_eq!(quarantine.verdict(BYSTANDERS[0], now), Verdict::Clear);
    assert_eq!(quarantine.verdict(POISON, now + HOLD), Verdict::Clear);
}

#[test]
fn suspects_that_shared_both_crashes_are_told_apart_by_the_next_event() {
    let now = Instant::now();
    let both = [POISON, BYSTANDERS[0]];
    let mut shared = Quarantine::new(HOLD);
    shared.crashed(&both, boot(1), now);
    shared.crashed(&both, boot(2), now);
    assert_eq!(shared.verdict(POISON, now), Verdict::Suspect { crashes: 2 });

    let mut by_crash = shared.clone();
    by_crash.crashed(&[POISON], boot(3), now);
    let mut by_completion = shared;
    by_completion.cleared(BYSTANDERS[0]);
    for quarantine in [by_crash, by_completion] {
        assert!(is_convicted(&quarantine, POISON, now));
        assert!(!is_convicted(&quarantine, BYSTANDERS[0], now));
    }
}

#[test]
fn two_entries_convict_together_and_marks_neither_last_nor_return() {
    let now = Instant::now();
    let mut one = Quarantine::new(HOLD);
    let mut two = Quarantine::new(HOLD);
    one.crashed(&[POISON, BYSTANDERS[0]], boot(1), now);
    two.crashed(&[POISON, BYSTANDERS[1]], boot(2), now);
    one.merge(&two.marks(now), now);
    two.merge(&one.marks(now), now);
    for entry in [&one, &two] {
        assert!(is_convicted(entry, POISON, now));
        assert!(BYSTANDERS.iter().all(|b| !is_convicted(entry, *b, now)));
    }
    one.cleared(BYSTANDERS[0]);
    let later = now + HOLD / 2;
    one.merge(&two.marks(later), later);
    assert_eq!(one.verdict(BYSTANDERS[0], later), Verdict::Clear);
    let end = now + HOLD;
    two.merge(&one.marks(end - Duration::from_nanos(1)), end);
    two.expire(end);
    assert!(two.marks(end).is_empty());
    assert_eq!(two.verdict(POISON, end), Verdict::Clear);
}

#[test]
fn suspects_share_no_endpoint_and_run_once_at_a_time() {
    let endpoint = |name| EndpointId::try_from(name).unwrap();
    let (a, b, c) = (endpoint("a"), endpoint("b"), endpoint("c"));
    let mut lanes = SuspectLanes::default();
    assert!(lanes.begin(POISON, &[a.clone(), b.clone()]));
    assert!(!lanes.begin(POISON, std::slice::from_ref(&c)));
    assert!(!lanes.begin(BYSTANDERS[0], &[b, c.clone()]));
    assert!(lanes.begin(BYSTANDERS[0], std::slice::from_ref(&c)));
    lanes.end(POISON);
    assert_eq!(lanes.busy_endpoints(), [c].into());
    assert!(lanes.begin(BYSTANDERS[1], &[a]));
}

/// Where suspects are not kept apart, a bystander may share two crashes.
#[test]
fn without_lanes_only_three_crashes_convict() {
    let now = Instant::now();
    let mut quarantine = Quarantine::without_lanes(Duration::from_secs(60));
    let request = RequestDigest(7);
    for crashes in 1..=3 {
        assert!(
            !matches!(quarantine.verdict(request, now), Verdict::Convicted { .. }),
            "{crashes}"
        );
        quarantine.crashed(&[request], BootId::generate(), now);
    }
    assert!(matches!(
        quarantine.verdict(request, now),
        Verdict::Convicted { .. }
    ));
    quarantine.cleared(request);
    assert_eq!(quarantine.verdict(request, now), Verdict::Clear);
}
