//! Tests that watches cost little in large fleets and deliver changes in time.

use std::time::Duration;

use pistachioyard_policy::WatchRole;

/// The propagation limits of the deployments that are known, and twice the longest.
const LIMITS_S: [u64; 4] = [2, 3, 4, 8];
/// The time in which all entries hear by gossip that another one has seen a change.
const GOSSIP_TIME: Duration = Duration::from_millis(750);
/// The time of a full read, on a store that answers within a few hundred ms.
const READ_TIME: Duration = Duration::from_millis(300);

#[test]
fn a_change_is_known_in_time_even_if_a_watch_is_on_a_dead_connection() {
    for limit in LIMITS_S.map(Duration::from_secs) {
        for role in [
            WatchRole::First,
            WatchRole::Follower,
            WatchRole::FollowerOfMany,
        ] {
            assert!(role.min_interval(limit) < limit, "{role:?}");
            let found = GOSSIP_TIME + role.max_lag(limit) + READ_TIME;
            assert!(
                found <= limit.max(Duration::from_secs(2)),
                "{role:?}: {found:?} of {limit:?}"
            );
        }
        assert!(WatchRole::First.wait(limit) < limit);
    }
}

/// Load pattern: the endpoints of a large fleet start, load and are replaced, a change each 50 ms.
#[test]
fn a_burst_of_changes_costs_an_entry_of_a_large_fleet_less_than_one_call_a_second() {
    let limit = Duration::from_secs(4);
    let burst = Duration::from_secs(20);
    let calls = |role: WatchRole| burst.as_millis() / role.min_interval(limit).as_millis();
    assert_eq!(calls(WatchRole::Follower), 50);
    assert!(calls(WatchRole::FollowerOfMany) <= 20);
    let idle_calls = |role: WatchRole| burst.as_millis() / role.wait(limit).as_millis();
    assert_eq!(idle_calls(WatchRole::FollowerOfMany), 0);
}
