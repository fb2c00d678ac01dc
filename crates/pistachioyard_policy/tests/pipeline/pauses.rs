//! Tests when the stall detector checks a paused stream, and when the stream leaves its path.

use std::time::{Duration, Instant};

use pistachioyard_policy::{PauseCheck, PauseVerdict, StallDetector};

const MS: Duration = Duration::from_millis(1);

fn detector(now: Instant) -> StallDetector {
    let mut detector = StallDetector::new(500 * MS, Some(200 * MS), now);
    detector.begin(now);
    detector
}

/// Lets a stream pause; returns the pauses after which its path is probed, and the pause after
/// which the first endpoint's report is requested.
fn checks(detector: &mut StallDetector, mut now: Instant) -> (Vec<Duration>, Duration) {
    let began_at = now;
    let mut probes = Vec::new();
    loop {
        now += detector.until_next_check(now).max(MS);
        match detector.begin_check(now) {
            PauseCheck::Probe => probes.push(now - began_at),
            PauseCheck::Report => return (probes, now - began_at),
        }
    }
}

#[test]
fn a_stream_that_does_not_begin_is_checked_before_its_target_is_missed() {
    let now = Instant::now();
    let (probes, report) = checks(&mut detector(now), now);
    assert_eq!((probes[0], report), (125 * MS, 250 * MS));
}

/// Guards the recovery from an endpoint that dies in the middle of many paths: the first probe
/// must come while most of the pause that callers accept is left.
#[test]
fn a_pause_is_probed_while_its_path_can_still_be_repaired_in_time() {
    for gap_ms in [15, 30, 60] {
        let mut now = Instant::now();
        let mut detector = detector(now);
        for _ in 0..20 {
            now += gap_ms * MS;
            detector.record_event(now);
        }
        let (probes, _) = checks(&mut detector, now);
        assert!(probes[0] >= gap_ms * MS, "{gap_ms}: {probes:?}");
        assert!(probes[0] <= 80 * MS, "{gap_ms}: {probes:?}");
        assert!(probes.windows(2).all(|pair| pair[1] - pair[0] <= 20 * MS));
    }
}

#[test]
fn a_report_is_due_by_the_stream_s_own_pace_and_before_the_gap_target() {
    let mut now = Instant::now();
    let mut detector = detector(now);
    for _ in 0..20 {
        now += 40 * MS;
        detector.record_event(now);
    }
    let (_, report) = checks(&mut detector, now);
    assert!(report > 130 * MS && report <= 200 * MS, "{report:?}");
}

#[test]
fn a_pause_without_a_detected_fault_leaves_the_path_before_callers_give_up() {
    let mut now = Instant::now();
    let mut detector = detector(now);
    detector.record_event(now);
    let began_at = now;
    loop {
        now += detector.until_next_check(now).max(MS);
        if detector.finish_check(now) == PauseVerdict::Leave {
            break;
        }
    }
    let pause = now - began_at;
    assert!(pause > 1_000 * MS && pause < 1_900 * MS, "{pause:?}");
}
