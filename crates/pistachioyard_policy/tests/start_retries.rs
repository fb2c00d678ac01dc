//! Tests that attempts to start are neither frequent nor far apart, and log little.

use std::time::Duration;

use pistachioyard_policy::StartRetries;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// The time in which an entry whose cause has gone must try again.
const MAX_WAIT: Duration = Duration::from_millis(500);
const HOUR: Duration = Duration::from_secs(3_600);

/// Fails for an hour, by turns at each of the steps; returns the attempts and the logged ones.
fn fail_for_an_hour(steps: u32, seed: u64) -> (u32, u32) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut retries = StartRetries::default();
    let (mut waited, mut logged) = (Duration::ZERO, 0);
    while waited < HOUR {
        let retry = retries.fail(retries.failed_attempts() % steps, &mut rng);
        assert!(retry.pause <= MAX_WAIT, "{retry:?}");
        waited += retry.pause;
        logged += u32::from(retry.is_logged);
    }
    (retries.failed_attempts(), logged)
}

#[test]
fn an_hour_of_failures_costs_few_attempts_and_few_lines() {
    for seed in 0..50 {
        let (attempts, logged) = fail_for_an_hour(1, seed);
        assert!(attempts < 4 * 3_600, "{attempts}");
        assert!(logged <= 16, "{logged}");
    }
}

#[test]
fn steps_that_fail_by_turns_cost_no_more_attempts() {
    for seed in 0..50 {
        let (attempts, logged) = fail_for_an_hour(3, seed);
        assert!(attempts < 4 * 3_600, "{attempts}");
        assert!(logged <= 3 * 16, "{logged}");
    }
}

#[test]
fn the_first_failure_of_each_step_is_logged() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut retries = StartRetries::default();
    for _ in 0..7 {
        retries.fail("settings", &mut rng);
    }
    let retry = retries.fail("callers", &mut rng);
    assert_eq!((retry.attempt, retry.is_logged), (1, true));
    assert_eq!(retries.failed_attempts(), 8);
}

#[test]
fn processes_that_fail_at_once_do_not_try_again_at_once() {
    let pauses = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        StartRetries::default().fail((), &mut rng).pause
    };
    let distinct: std::collections::BTreeSet<Duration> = (0..20).map(pauses).collect();
    assert!(distinct.len() > 10, "{distinct:?}");
}
