//! Pauses before a part of the process is started again.

use std::time::Duration;

use pistachioyard_policy::RestartBackoff;

const SOON: Duration = Duration::from_millis(1);

#[test]
fn pauses_grow_up_to_a_limit() {
    let mut backoff = RestartBackoff::default();
    let pauses: Vec<u128> = (0..8)
        .map(|_| backoff.note_end(SOON, 1.0).as_millis())
        .collect();
    assert_eq!(pauses, [50, 100, 200, 400, 800, 1_000, 1_000, 1_000]);
    for _ in 0..100 {
        assert_eq!(backoff.note_end(SOON, 1.0), Duration::from_secs(1));
    }
}

#[test]
fn pauses_are_spread_and_never_zero() {
    for random in [f64::MIN, -1.0, 0.0, 0.3, 1.0, f64::MAX] {
        let pause = RestartBackoff::default().note_end(SOON, random);
        let expected = Duration::from_millis(25)..=Duration::from_millis(50);
        assert!(expected.contains(&pause), "{random}: {pause:?}");
    }
}

#[test]
fn a_part_that_keeps_ending_is_failing_until_it_has_run_for_a_while() {
    let mut backoff = RestartBackoff::default();
    let mut failing = Vec::new();
    for _ in 0..3 {
        backoff.note_end(SOON, 0.5);
        failing.push(backoff.is_failing());
    }
    assert_eq!(failing, [false, false, true]);
    let pause = backoff.note_end(RestartBackoff::SOUND_RUN, 1.0);
    assert_eq!(pause, Duration::from_millis(50));
    assert!(!backoff.is_failing());
}
