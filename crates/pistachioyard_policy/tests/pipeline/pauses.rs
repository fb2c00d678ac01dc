//! When a stream that pauses is looked into, and when it leaves its path.

use std::time::{Duration, Instant};

use pistachioyard_policy::{GapMeter, Look, PauseVerdict};

const MS: Duration = Duration::from_millis(1);

fn meter(now: Instant) -> GapMeter {
    let mut meter = GapMeter::new(500 * MS, Some(200 * MS), now);
    meter.begin(now);
    meter
}

/// Lets a stream pause and returns after which pauses it is glanced at, up to and with
/// the one after which the first endpoint's report is asked for.
fn looks(meter: &mut GapMeter, mut now: Instant) -> (Vec<Duration>, Duration) {
    let began_at = now;
    let mut glances = Vec::new();
    loop {
        now += meter.patience(now).max(MS);
        match meter.begin_look(now) {
            Look::Glance => glances.push(now - began_at),
            Look::Report => return (glances, now - began_at),
        }
    }
}

#[test]
fn a_stream_that_does_not_begin_is_looked_into_before_its_target_is_missed() {
    let now = Instant::now();
    let (glances, report) = looks(&mut meter(now), now);
    assert_eq!((glances[0], report), (125 * MS, 250 * MS));
}

/// Replays an endpoint's death in the middle of many paths: its streams must be able to
/// be looked into while most of the pause that callers accept is left.
#[test]
fn a_pause_is_glanced_at_while_its_path_can_still_be_mended_in_time() {
    for gap_ms in [15, 30, 60] {
        let mut now = Instant::now();
        let mut meter = meter(now);
        for _ in 0..20 {
            now += gap_ms * MS;
            meter.event(now);
        }
        let (glances, _) = looks(&mut meter, now);
        assert!(glances[0] >= gap_ms * MS, "{gap_ms}: {glances:?}");
        assert!(glances[0] <= 80 * MS, "{gap_ms}: {glances:?}");
        assert!(glances.windows(2).all(|pair| pair[1] - pair[0] <= 20 * MS));
    }
}

#[test]
fn a_pause_is_looked_into_by_the_stream_s_own_pace_and_before_the_gap_target() {
    let mut now = Instant::now();
    let mut meter = meter(now);
    for _ in 0..20 {
        now += 40 * MS;
        meter.event(now);
    }
    let (_, report) = looks(&mut meter, now);
    assert!(report > 130 * MS && report <= 200 * MS, "{report:?}");
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
