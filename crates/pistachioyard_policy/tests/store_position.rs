//! Tests that points in the store's history are ordered by era, and within one by revision.

use std::time::{Duration, Instant};

use pistachioyard_policy::{StoreEra, StorePosition, WatchLag, is_later_era};

/// An answer without an era must not look like one after a return, nor like one before it.
#[test]
fn an_unknown_era_is_neither_later_nor_earlier() {
    let era = |number| Some(StoreEra(number));
    assert!(is_later_era(era(2), era(1)));
    assert!(!is_later_era(era(1), era(1)));
    assert!(!is_later_era(era(1), era(2)));
    assert!(!is_later_era(era(2), None));
    assert!(!is_later_era(None, era(1)));
}

const MAX_LAG: Duration = Duration::from_millis(700);

fn at(era: Option<u64>, revision: u64) -> StorePosition {
    StorePosition {
        era: era.map(StoreEra),
        revision,
    }
}

/// A watch on a dead connection is noticed, but not one that is about to deliver the change.
#[test]
fn a_peer_that_is_ahead_for_long_causes_one_list() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.note(at(Some(1), 10));
    assert!(!lag.check(at(Some(1), 10), start, MAX_LAG));
    assert!(!lag.check(at(Some(1), 11), start, MAX_LAG));
    assert!(!lag.check(at(Some(1), 11), start + MAX_LAG, MAX_LAG));
    let later = start + MAX_LAG + Duration::from_millis(1);
    assert!(lag.check(at(Some(1), 11), later, MAX_LAG));
    assert!(!lag.check(at(Some(1), 11), later, MAX_LAG));
}

/// Peers whose watches are stuck as well would hide the one whose watch delivers.
#[test]
fn a_peer_that_is_ahead_is_noticed_beside_others_that_are_behind() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.note(at(Some(1), 10));
    let mut is_due = false;
    for ms in (0..2_000).step_by(250) {
        let now = start + Duration::from_millis(ms);
        is_due |= lag.check(at(Some(1), 11), now, MAX_LAG);
        for behind in [9, 10] {
            is_due |= lag.check(at(Some(1), behind), now, MAX_LAG);
        }
    }
    assert!(is_due);
}

/// A peer that has only seen the earlier era would be taken to be ahead, by its revision.
#[test]
fn a_higher_revision_of_an_earlier_era_causes_no_list() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.note(at(Some(1), 900));
    lag.note(at(Some(2), 0));
    lag.note(at(Some(2), 30));
    assert_eq!(lag.newest(), at(Some(2), 30));
    lag.note(at(Some(1), 950));
    assert_eq!(lag.newest(), at(Some(2), 30));
    for ms in [0, 800, 1_600, 2_400] {
        let now = start + Duration::from_millis(ms);
        assert!(!lag.check(at(Some(1), 900), now, MAX_LAG));
    }
}

/// An entry that holds high revisions of the earlier era must learn of the return from a peer.
#[test]
fn a_peer_in_a_later_era_causes_a_list_at_once() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.note(at(Some(1), 900));
    assert!(lag.check(at(Some(2), 5), start, MAX_LAG));
}

/// A peer or a store without eras is compared as before there were any.
#[test]
fn revisions_decide_while_an_era_is_unknown() {
    let start = Instant::now();
    let late = start + 2 * MAX_LAG;
    for (own, peer) in [(None, Some(2)), (Some(2), None), (None, None)] {
        let mut lag = WatchLag::default();
        lag.note(at(own, 10));
        assert!(!lag.check(at(peer, 10), start, MAX_LAG));
        assert!(!lag.check(at(peer, 11), start, MAX_LAG));
        assert!(lag.check(at(peer, 11), late, MAX_LAG));
        lag.note(at(peer, 12));
        assert_eq!(lag.newest(), at(own.or(peer), 12));
    }
}

/// A lease at a reused revision must not look as if its holder had not renewed it.
#[test]
fn a_reused_revision_is_another_change() {
    assert!(at(Some(1), 7).is_unchanged(at(Some(1), 7)));
    assert!(at(None, 7).is_unchanged(at(Some(1), 7)));
    assert!(at(Some(1), 7).is_unchanged(at(None, 7)));
    assert!(!at(Some(1), 7).is_unchanged(at(Some(1), 8)));
    assert!(!at(Some(1), 7).is_unchanged(at(Some(2), 7)));
}

/// Revisions that begin anew must not look like ones that were seen long ago.
#[test]
fn a_peer_that_is_ahead_of_revisions_which_began_anew_is_noticed() {
    let start = Instant::now();
    let mut lag = WatchLag::default();
    lag.note(at(Some(1), 500));
    lag.restart(at(Some(1), 10));
    assert_eq!(lag.newest(), at(Some(1), 10));
    assert!(!lag.check(at(Some(1), 11), start, MAX_LAG));
    assert!(lag.check(at(Some(1), 11), start + MAX_LAG * 2, MAX_LAG));
}
