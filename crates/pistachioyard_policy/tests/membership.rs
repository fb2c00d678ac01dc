//! Tests that entries discover each other and offer callers those that accept new work.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use pistachioyard_policy::Membership;
use pistachioyard_wire::{
    BootId, DataCentre, EntryId, EntryState, MemberRecord, Revision, WorkspaceName,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);

fn entry(number: u16) -> EntryId {
    EntryId::try_from(format!("entry-{number}")).expect("the name is valid")
}

fn centre(name: &str) -> DataCentre {
    DataCentre::try_from(name).expect("the name is valid")
}

fn record(number: u16, boot: u128, heartbeat: u64, data_centre: &str) -> MemberRecord {
    MemberRecord {
        entry: entry(number),
        boot: BootId(Uuid::from_u128(boot)),
        heartbeat,
        state: EntryState::Live,
        address: ([127, 0, 0, 1], 8_000 + number).into(),
        peer_address: ([127, 0, 0, 1], 9_000 + number).into(),
        data_centre: centre(data_centre),
        revision: Revision(1),
    }
}

fn three_centres(now: Instant, size: u16) -> Membership {
    let mut membership = Membership::new(record(0, 1, 0, "a"), HEARTBEAT_TIMEOUT, now);
    let others: Vec<_> = (1..size)
        .map(|n| record(n, 1, 1, ["a", "b", "c"][usize::from(n) % 3]))
        .collect();
    membership.merge(&others, now);
    membership
}

#[test]
fn a_later_run_replaces_an_earlier_one_and_never_the_reverse() {
    let now = Instant::now();
    let mut membership = Membership::new(record(0, 5, 0, "a"), HEARTBEAT_TIMEOUT, now);
    assert_eq!(membership.merge(&[record(1, 1, 9, "a")], now), [entry(1)]);
    assert_eq!(membership.merge(&[record(1, 2, 0, "a")], now), [entry(1)]);
    let later = now + HEARTBEAT_TIMEOUT * 2;
    assert!(
        membership
            .merge(&[record(1, 1, 99, "a"), record(1, 2, 0, "a")], later)
            .is_empty()
    );
    assert_eq!(membership.state_of(&entry(1), later), EntryState::Lost);
    membership.merge(&[record(0, 9, 7, "b")], later);
    assert_eq!(membership.own_record(), &record(0, 5, 0, "a"));
}

#[test]
fn a_forgotten_entry_is_not_brought_back_by_old_gossip() {
    let now = Instant::now();
    let mut membership = three_centres(now, 2);
    let later = now + HEARTBEAT_TIMEOUT * 11;
    assert_eq!(membership.gossip_records(later).len(), 1);
    membership.expire(later);
    assert_eq!(membership.all(later).len(), 1);
    assert!(membership.merge(&[record(1, 1, 1, "b")], later).is_empty());
    assert_eq!(membership.merge(&[record(1, 1, 2, "b")], later), [entry(1)]);
}

#[test]
fn callers_get_live_entries_only_and_all_entries_agree() {
    let now = Instant::now();
    let workspace = WorkspaceName::try_from("alpha").unwrap();
    let mut here = three_centres(now, 12);
    let mut there = Membership::new(record(7, 1, 1, "b"), HEARTBEAT_TIMEOUT, now);
    there.merge(&here.gossip_records(now), now);
    let list = |m: &Membership, at| -> Vec<EntryId> {
        let found = m.entries_for(&workspace, Some(&centre("a")), 3, at);
        found.into_iter().map(|r| r.entry.clone()).collect()
    };
    let before = list(&here, now);
    assert_eq!(before, list(&there, now));
    let centres: Vec<_> = here
        .entries_for(&workspace, Some(&centre("a")), 3, now)
        .iter()
        .map(|r| r.data_centre.to_string())
        .collect();
    assert_eq!(centres[..2], ["a", "a"]);
    assert_ne!(centres[2], "a");

    let mut draining = here.all(now).into_iter().map(|(r, _)| r);
    let mut draining = draining.find(|r| r.entry == before[0]).unwrap();
    draining.state = EntryState::Draining;
    draining.heartbeat += 1;
    here.merge(&[draining.clone()], now);
    here.set_own_state(EntryState::Draining, Revision(1));
    let after = list(&here, now);
    assert!(!after.contains(&draining.entry) && !after.contains(&entry(0)));
    assert!(list(&here, now + HEARTBEAT_TIMEOUT * 2).is_empty());
}

#[test]
fn gossip_stays_bounded_and_reaches_other_data_centres_and_lost_entries() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let few = three_centres(now, 4);
    assert_eq!(few.gossip_targets(3, now, &mut rng).len(), 3);
    assert_eq!(
        few.gossip_targets(3, now + HEARTBEAT_TIMEOUT * 2, &mut rng)
            .len(),
        3
    );

    let mut many = three_centres(now, 30);
    let later = now + HEARTBEAT_TIMEOUT * 2;
    let heard: Vec<_> = (1..20)
        .map(|n| record(n, 1, 2, ["a", "b", "c"][usize::from(n) % 3]))
        .collect();
    many.merge(&heard, later);
    let mut reached = BTreeSet::new();
    for _ in 0..300 {
        let targets = many.gossip_targets(3, later, &mut rng);
        let remote = targets[..3]
            .iter()
            .filter(|(_, a)| (a.port() - 9_000) % 3 != 0)
            .count();
        assert_eq!((targets.len(), remote), (4, 1));
        reached.extend(targets.into_iter().map(|(e, _)| e));
    }
    assert_eq!(reached.len(), 29);
}

/// Guards against two entries that never hear each other again after a network partition
/// longer than the heartbeat timeout, when each counts the other as lost. Each entry then
/// spent the retry budget as if it were the only one (seen with `core_cut near`).
/// Both must be live again within a few exchanges after the partition.
#[test]
fn entries_that_lost_each_other_in_a_partition_find_each_other_again() {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut sides: Vec<Membership> = (0..2)
        .map(|n| Membership::new(record(n, 1, 1, "a"), HEARTBEAT_TIMEOUT, start))
        .collect();
    let mut exchange = |sides: &mut Vec<Membership>, now: Instant| {
        for from in 0..2 {
            sides[from].advance_heartbeat(now);
            let targets = sides[from].next_targets(now, &mut rng);
            let own = sides[from].own_record().clone();
            let other = &mut sides[1 - from];
            let to = other.own_record().peer_address;
            if targets.iter().any(|target| target.address == to) {
                other.merge(&[own], now);
            }
        }
    };
    let first = sides[0].own_record().clone();
    sides[1].merge(&[first], start);
    exchange(&mut sides, start);
    let after_partition = start + HEARTBEAT_TIMEOUT * 2;
    for side in &sides {
        assert_eq!(side.live(after_partition).len(), 1);
    }
    exchange(&mut sides, after_partition);
    exchange(&mut sides, after_partition + Duration::from_millis(250));
    for side in &sides {
        assert_eq!(
            side.live(after_partition + Duration::from_millis(250))
                .len(),
            2
        );
    }
}

#[test]
fn callers_of_a_large_fleet_get_the_entries_of_their_data_centre() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let small = three_centres(now, 12);
    let none = BTreeSet::new();
    let offered = small.entries_near(&centre("b"), &none, 64, now, &mut rng);
    assert_eq!(offered.len(), 12);
    let large = three_centres(now, 60);
    let offered = large.entries_near(&centre("b"), &none, 64, now, &mut rng);
    assert_eq!(offered.len(), 20);
    assert!(offered.iter().all(|r| r.data_centre == centre("b")));
    assert_eq!(
        large
            .entries_near(&centre("b"), &none, 5, now, &mut rng)
            .len(),
        5,
        "no more than asked for"
    );
    // Nothing is known of a new data centre, and few entries of one with losses.
    let offered = large.entries_near(&centre("z"), &none, 64, now, &mut rng);
    assert_eq!(offered.len(), 8);
}

#[test]
fn callers_are_not_offered_entries_that_are_cut_off_while_most_are_not() {
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let fleet = three_centres(now, 4);
    let mut offered_without = |numbers: &[u16]| {
        let cut: BTreeSet<EntryId> = numbers.iter().map(|n| entry(*n)).collect();
        let offered = fleet.entries_near(&centre("b"), &cut, 64, now, &mut rng);
        let offered = offered.iter().map(|record| record.entry.clone());
        offered.collect::<BTreeSet<EntryId>>()
    };
    assert_eq!(offered_without(&[1]), [0, 2, 3].map(entry).into());
    assert_eq!(offered_without(&[0, 1]), [2, 3].map(entry).into());
    let all: BTreeSet<EntryId> = [0, 1, 2, 3].map(entry).into();
    assert_eq!(offered_without(&[0, 1, 2]), all);
    assert_eq!(offered_without(&[0, 1, 2, 3]), all);
    // All entries of a data centre.
    let large = three_centres(now, 60);
    let cut: BTreeSet<EntryId> = (0..60).filter(|n| n % 3 == 1).map(entry).collect();
    let offered = large.entries_near(&centre("b"), &cut, 64, now, &mut rng);
    assert_eq!(offered.len(), 8);
    assert!(offered.iter().all(|r| r.data_centre != centre("b")));
}

/// The time of day may jump back before a restart, so that the boot id of the new run is lower.
#[test]
fn an_entry_that_restarted_after_its_clock_jumped_back_is_live_again() {
    let now = Instant::now();
    let mut membership = Membership::new(record(0, 5, 0, "a"), HEARTBEAT_TIMEOUT, now);
    membership.merge(&[record(1, 9, 50, "a")], now);
    let restarted = record(1, 3, 1, "a");
    assert!(
        !membership.merge_sender(&restarted, now),
        "the old run lives"
    );
    let later = now + HEARTBEAT_TIMEOUT * 2;
    assert!(
        membership
            .merge(std::slice::from_ref(&restarted), later)
            .is_empty(),
        "a relayed record may be old"
    );
    assert!(membership.merge_sender(&restarted, later));
    assert_eq!(membership.state_of(&entry(1), later), EntryState::Live);
    let kept = membership.record_of(&entry(1)).map(|record| record.boot);
    assert_eq!(kept, Some(restarted.boot));
}
