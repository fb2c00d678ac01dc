//! Tests what is told of the turns of a thread.

use std::time::{Duration, Instant};

use pistachioyard_policy::{Turn, TurnHistory};

const MS: Duration = Duration::from_millis(1);

fn turn(took_ms: u32, cpu_ms: u32) -> Turn {
    Turn {
        took: MS * took_ms,
        cpu: MS * cpu_ms,
    }
}

/// Guards against an event that is late because of a turn of which nothing is told.
#[test]
fn a_turn_that_makes_an_event_late_is_told_at_once() {
    let mut history = TurnHistory::default();
    let now = Instant::now();
    assert_eq!(history.record(turn(59, 59), now), None);
    let told = history.record(turn(60, 3), now).expect("it is long");
    assert_eq!((told.turn, told.unlogged), (turn(60, 3), 0));
}

/// Guards against a line for each turn of a machine that is always busy.
#[test]
fn lines_are_paced_and_count_the_long_turns_between_them() {
    let mut history = TurnHistory::default();
    let start = Instant::now();
    let lines: Vec<u64> = (0..100)
        .filter_map(|n| history.record(turn(100, 10), start + MS * 100 * n))
        .map(|line| line.unlogged)
        .collect();
    assert_eq!(lines, [0, 9, 9, 9, 9, 9, 9, 9, 9, 9]);
}

/// Guards against a histogram whose buckets do not add up.
#[test]
fn the_buckets_hold_all_shorter_turns() {
    let mut history = TurnHistory::default();
    for took_ms in [1, 6, 60, 61, 2_500, 9_000] {
        let _ = history.record(turn(took_ms, 1), Instant::now());
    }
    assert_eq!(history.took().longest(), MS * 9_000);
    assert_eq!(history.cpu().longest(), MS);
    let text = history.took().render("turn_seconds", "Turns");
    let counts: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("turn_seconds_bucket{le="))
        .collect();
    let expected = [
        "\"0.001\"} 1",
        "\"0.005\"} 1",
        "\"0.01\"} 2",
        "\"0.03\"} 2",
        "\"0.06\"} 3",
        "\"0.12\"} 4",
        "\"0.25\"} 4",
        "\"0.5\"} 4",
        "\"1\"} 4",
        "\"2.5\"} 5",
        "\"+Inf\"} 6",
    ];
    assert_eq!(counts, expected);
    assert!(
        text.ends_with("turn_seconds_sum 11.628\nturn_seconds_count 6\n"),
        "{text}"
    );
}
