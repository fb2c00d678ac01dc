//! Tests that a controller lease has one holder and that each change of holder raises its
//! fencing token.

use std::time::{Duration, Instant};

use pistachioyard_policy::{
    EraLease, HeldLease, LeaseAction, LeaseRecord, StoreEra, decide_lease, raise_fence,
};
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

/// Endpoints would refuse the orders of a holder whose token an older copy of the store gave it.
#[test]
fn a_token_from_an_older_copy_is_raised_above_the_newest_known_one() {
    let newest = Fence(7);
    let raised = LeaseAction::Take(held("one", 1, 8, 10_000));
    let actions = [
        decide_as_entry_one(None),
        decide_as_entry_one(Some(&held("two", 1, 6, 0))),
        decide_as_entry_one(Some(&held("one", 1, 6, 0))),
        decide_as_entry_one(Some(&held("one", 1, 6, 5_000))),
    ];
    for action in actions {
        assert_eq!(raise_fence(action.clone(), newest), raised, "{action:?}");
    }
    let unchanged = [
        decide_as_entry_one(Some(&held("two", 1, 7, 0))),
        decide_as_entry_one(Some(&held("one", 1, 7, 5_000))),
        decide_as_entry_one(Some(&held("one", 1, 3, 9_000))),
        decide_as_entry_one(Some(&held("two", 1, 3, 700))),
    ];
    for action in unchanged {
        assert_eq!(raise_fence(action.clone(), newest), action);
    }
}

/// Another process may have taken the lease that the store's return has lost.
#[test]
fn a_lease_of_an_earlier_era_or_with_a_lower_token_is_not_held() {
    let now = Instant::now();
    let lease = |era| EraLease {
        hold: HeldLease::new(now, TERM),
        fence: Fence(4),
        era,
    };
    let is_valid = |lease: EraLease, era, newest| lease.is_valid(now, TERM / 4, era, newest);
    let (one, two) = (Some(StoreEra(1)), Some(StoreEra(2)));
    assert!(is_valid(lease(one), one, Fence(4)));
    assert!(!is_valid(lease(one), two, Fence(4)));
    assert!(!is_valid(lease(one), one, Fence(5)));
    assert!(is_valid(lease(None), one, Fence(4)));
    assert!(is_valid(lease(one), None, Fence(4)));
}
