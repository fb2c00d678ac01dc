//! Tests the counting and merging of service-level burn.

use std::time::Instant;

use pistachioyard_policy::{BurnCounter, BurnReport, Measure, merge_counts};
use pistachioyard_wire::{Objective, Priority, ServiceLevel};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fixture::millis;

fn level() -> ServiceLevel {
    ServiceLevel {
        objective: Objective::FirstToken,
        threshold_ms: Some(500),
        target: 0.99,
        workspace: Some("macon".parse().unwrap()),
        priority: None,
    }
}

#[test]
fn merged_counts_equal_those_of_one_counter() {
    let start = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut single = BurnCounter::new(level(), start);
    let mut entries = vec![BurnCounter::new(level(), start); 4];
    let mut ms = 0;
    for _ in 0..20_000 {
        ms += rng.random_range(0..2_500);
        let good = rng.random_bool(0.9);
        single.record(good, start + millis(ms));
        entries[rng.random_range(0..4)].record(good, start + millis(ms));
    }
    let now = start + millis(ms);
    let mut merged = Vec::new();
    for entry in &entries {
        merge_counts(&mut merged, &entry.windows(now));
    }
    assert_eq!(merged, single.windows(now));
    assert!(merged.iter().all(|count| count.total > 0));
}

#[test]
fn events_leave_the_windows_as_they_age() {
    let start = Instant::now();
    let mut counter = BurnCounter::new(level(), start);
    counter.record(false, start);
    let totals = |seconds: u64| -> Vec<u64> {
        let windows = counter.windows(start + millis(seconds * 1_000));
        windows.iter().map(|count| count.total).collect()
    };
    assert_eq!(totals(299), [1, 1, 1, 1]);
    assert_eq!(totals(300), [0, 1, 1, 1]);
    assert_eq!(totals(1_800), [0, 0, 1, 1]);
    assert_eq!(totals(3_600), [0, 0, 0, 1]);
    assert_eq!(totals(6 * 3_600), [0, 0, 0, 0]);
}

#[test]
fn only_matching_events_count_and_an_alert_needs_both_windows() {
    let start = Instant::now();
    let mut counter = BurnCounter::new(level(), start);
    let (macon, dothan) = ("macon".parse().unwrap(), "dothan".parse().unwrap());
    let mut observe = |objective, workspace, ms| {
        let measure = Measure::Millis(ms);
        counter.observe(objective, workspace, Priority::Low, measure, start);
    };
    observe(Objective::FirstToken, &dothan, 900.0);
    observe(Objective::Recovery, &macon, 900.0);
    for _ in 0..80 {
        observe(Objective::FirstToken, &macon, 500.0);
    }
    for _ in 0..20 {
        observe(Objective::FirstToken, &macon, 501.0);
    }
    let report = |seconds: u64| {
        let counts = counter.windows(start + millis(seconds * 1_000));
        BurnReport::new(level(), &counts)
    };
    let fresh = report(0);
    assert_eq!((fresh.windows[0].good, fresh.windows[0].total), (80, 100));
    // 20 % of the events are bad and 1 % is allowed, so the burn rate is 20.
    assert!((fresh.windows[0].burn_rate - 20.0).abs() < 1e-9);
    assert!((fresh.budget_left + 19.0).abs() < 1e-9);
    let firing = |report: &BurnReport| -> Vec<bool> {
        report.alerts.iter().map(|alert| alert.firing).collect()
    };
    assert_eq!(firing(&fresh), [true, true]);
    assert_eq!(firing(&report(400)), [false, true]);
    assert_eq!(firing(&report(1_800)), [false, false]);
}
