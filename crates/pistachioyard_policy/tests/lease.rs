//! Tests that a controller lease has one holder and that each change of holder raises its
//! fencing token.

use std::time::{Duration, Instant};

use pistachioyard_policy::{HeldLease, LeaseAction, LeaseRecord, decide_lease};
use pistachioyard_wire::{BootId, EntryId, Fence};
use uuid::Uuid;

const TERM: Duration = Duration::from_secs(10);
const NOW_MS: u64 = 1_760_000_000_000;

fn entry(name: &str) -> EntryId {
    EntryId::try_from(name).expect("the name is valid")
}

fn boot(number: u128) -> BootId {
    BootId(Uuid::from_u128(number))
}

fn held(holder: &str, number: u128, fence: u64, left_ms: u64) -> LeaseRecord {
    LeaseRecord {
        holder: entry(holder),
        boot: boot(number),
        fence: Fence(fence),
        until_unix_ms: NOW_MS + left_ms,
    }
}

fn decide_as_entry_one(current: Option<&LeaseRecord>) -> LeaseAction {
    decide_lease(current, &entry("one"), boot(1), NOW_MS, TERM)
}

#[test]
fn only_the_same_run_keeps_and_renews_without_a_new_fence() {
    let renewed = |fence| held("one", 1, fence, 10_000);
    assert_eq!(decide_as_entry_one(None), LeaseAction::Take(renewed(1)));
    assert_eq!(
        decide_as_entry_one(Some(&held("one", 1, 4, 6_668))),
        LeaseAction::Keep
    );
    assert_eq!(
        decide_as_entry_one(Some(&held("one", 1, 4, 6_667))),
        LeaseAction::Renew(renewed(4))
    );
    assert_eq!(
        decide_as_entry_one(Some(&held("one", 1, 4, 0))),
        LeaseAction::Take(renewed(5))
    );
    assert_eq!(
        decide_as_entry_one(Some(&held("one", 2, 4, 700))),
        LeaseAction::Wait { ms: 700 }
    );
    assert_eq!(
        decide_as_entry_one(Some(&held("two", 1, 4, 700))),
        LeaseAction::Wait { ms: 700 }
    );
    assert_eq!(
        decide_as_entry_one(Some(&held("two", 1, 4, 0))),
        LeaseAction::Take(renewed(5))
    );
    assert_eq!(
        decide_as_entry_one(Some(&held("two", 1, 4, 99_000))),
        LeaseAction::Take(renewed(5))
    );
}

#[test]
fn a_paused_holder_finds_its_lease_expired() {
    let start = Instant::now();
    let held_lease = HeldLease::new(start, TERM);
    let margin = Duration::from_secs(2);
    assert!(held_lease.is_valid(start + Duration::from_secs(7), margin));
    assert!(!held_lease.is_valid(start + Duration::from_secs(8), margin));
}
