//! Tests that a copy of the store's objects is read again before its age exceeds the limit for
//! changes, and not while answers or peers confirm it.

use std::time::{Duration, Instant};

use pistachioyard_policy::{Freshness, WatchRole};

/// The propagation limits of the deployments that are known, and twice the longest.
const LIMITS_S: [u64; 4] = [2, 3, 4, 8];
/// The time in which all entries of a large fleet hear by gossip what the first one knows.
const GOSSIP_TIME: Duration = Duration::from_millis(1_000);
/// The time of a list on a dead connection and of one more on a new one.
const READ_TIME: Duration = Duration::from_millis(300);

/// Guards against a watch that hangs at all entries.
#[test]
fn a_copy_that_nothing_confirms_is_read_again_in_time_for_the_limit() {
    let start = Instant::now();
    let freshness = Freshness::new(start);
    for limit in LIMITS_S.map(Duration::from_secs) {
        let known_at = freshness.expires_at(limit) + READ_TIME;
        assert!(known_at <= start + limit, "{limit:?}");
    }
}

/// Guards against lists by all entries while nothing changes.
#[test]
fn a_quiet_watch_of_the_first_entry_confirms_all_copies() {
    for limit in LIMITS_S.map(Duration::from_secs) {
        let start = Instant::now();
        let wait = WatchRole::First.wait(limit);
        let (mut first, mut follower) = (Freshness::new(start), Freshness::new(start));
        let mut now = start;
        for _ in 0..20 {
            let began = now;
            now += wait + Duration::from_millis(5);
            let told_at = now + GOSSIP_TIME;
            assert!(told_at < follower.expires_at(limit), "{limit:?}");
            first.confirm_watch(began, wait, now);
            follower.confirm_by_peer(first.age(told_at), told_at);
        }
    }
}

/// Guards against taking the time at which an answer arrives for the time that it tells of.
#[test]
fn an_answer_confirms_the_time_at_which_the_store_looked() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let wait = Duration::from_millis(1_000);
    let mut late = Freshness::new(start);
    late.confirm_watch(at(0), wait, at(1_800));
    assert_eq!(late.age(at(1_800)), Duration::from_millis(800));
    let mut early = Freshness::new(start);
    early.confirm_watch(at(500), wait, at(510));
    assert_eq!(early.age(at(510)), Duration::from_millis(10));
}

/// Guards against a peer whose copy is older, and against one that lost track of time.
#[test]
fn a_peer_does_not_make_a_copy_older() {
    let start = Instant::now();
    let now = start + Duration::from_millis(500);
    let mut freshness = Freshness::new(start);
    freshness.confirm_by_peer(Duration::from_millis(900), now);
    freshness.confirm_by_peer(Duration::MAX, now);
    assert_eq!(freshness.age(now), Duration::from_millis(500));
    freshness.confirm_by_peer(Duration::from_millis(100), now);
    assert_eq!(freshness.age(now), Duration::from_millis(100));
}
