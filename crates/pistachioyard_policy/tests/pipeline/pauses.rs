//! When a stream that pauses is looked into, and when it leaves its path.

use std::time::{Duration, Instant};

use pistachioyard_policy::{GapMeter, PauseVerdict};

const MS: Duration = Duration::from_millis(1);

fn meter(now: Instant) -> GapMeter {
    let mut meter = GapMeter::new(500 * MS, Some(200 * MS), now);
    meter.begin(now);
    meter
}

#[test]
fn a_stream_that_does_not_begin_is_looked_into_before_its_target_is_missed() {
    let now = Instant::now();
    assert_eq!(meter(now).patience(now), 250 * MS);
}

#[test]
fn a_pause_is_looked_into_by_the_stream_s_own_pace_and_before_the_gap_target() {
    let mut now = Instant::now();
    let mut meter = meter(now);
    for _ in 0..20 {
        now += 40 * MS;
        meter.event(now);
    }
    let patience = meter.patience(now);
    assert!(patience > 130 * MS && patience <= 200 * MS, "{patience:?}");
}

#[test]
fn a_pause_without_a_finding_leaves_the_path_before_callers_give_up() {
    let mut now = Instant::now();
    let mut meter = meter(now);
    meter.event(now);
    let began_at = now;
    loop {
        now += meter.patience(now).max(MS);
        if meter.next_look(now) == PauseVerdict::Leave {
            break;
        }
    }
    let pause = now - began_at;
    assert!(pause > 1_000 * MS && pause < 1_900 * MS, "{pause:?}");
}
