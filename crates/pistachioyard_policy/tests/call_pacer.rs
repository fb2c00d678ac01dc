//! Tests that calls are bounded however fast they are answered, and are not held back otherwise.

use std::time::{Duration, Instant};

use pistachioyard_policy::CallPacer;

const BURST: u32 = 8;
const INTERVAL: Duration = Duration::from_millis(300);
/// How long the simulated calls go on.
const TIME: Duration = Duration::from_secs(60);

/// Makes each call `pause` after the one before, or when the pacer allows it, and returns the
/// number of calls and the longest wait.
fn run(pause: Duration) -> (u32, Duration) {
    let mut pacer = CallPacer::new(BURST, INTERVAL);
    let start = Instant::now();
    let (mut now, mut calls, mut longest) = (start, 0, Duration::ZERO);
    while now < start + TIME {
        match pacer.take(now) {
            Some(at) => {
                assert!(at > now, "a wait without an end at the same time");
                longest = longest.max(at - now);
                now = at;
            }
            None => {
                calls += 1;
                now += pause;
            }
        }
    }
    (calls, longest)
}

#[test]
fn calls_are_bounded_and_wait_only_if_they_are_too_many() {
    let most = BURST + TIME.div_duration_f64(INTERVAL) as u32;
    for pause in [0, 1, 10, 100].map(Duration::from_millis) {
        let (calls, longest) = run(pause);
        assert!(calls <= most, "{calls} calls {pause:?} apart");
        assert!(calls >= most - BURST, "{calls} calls {pause:?} apart");
        assert!(longest <= INTERVAL, "{longest:?}");
    }
    assert_eq!(run(INTERVAL).1, Duration::ZERO, "no need to wait");
}

#[test]
fn a_burst_after_a_pause_does_not_wait() {
    let mut pacer = CallPacer::new(BURST, INTERVAL);
    let mut now = Instant::now();
    for _ in 0..3 {
        for _ in 0..BURST {
            assert_eq!(pacer.take(now), None);
        }
        assert_eq!(pacer.take(now), Some(now + INTERVAL));
        now += INTERVAL * BURST;
    }
}

#[test]
fn a_wait_that_is_given_up_takes_no_call() {
    let mut pacer = CallPacer::new(1, INTERVAL);
    let now = Instant::now();
    assert_eq!(pacer.take(now), None);
    for _ in 0..100 {
        assert_eq!(pacer.take(now), Some(now + INTERVAL));
    }
    assert_eq!(pacer.take(now + INTERVAL), None);
}
