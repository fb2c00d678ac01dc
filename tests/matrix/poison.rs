//! A request that crashes every engine that runs it.

use std::time::Duration;

use pistachioyard_standins::{Answer, GenerateEnd};
use pistachioyard_wire::{Outcome, Problem, ProblemKind};

use crate::support::{Harness, plan_with_replicas, request};

/// The number of engines per stage; enough for a full chain after two crashes.
const REPLICAS: usize = 4;
/// The most engines that one request may crash.
const MAX_CRASHED_ENGINES: usize = 2;

fn poison_request() -> pistachioyard_wire::GenerateRequest {
    request("CRASH-ENGINE the south wall")
}

fn crashed_engines(harness: &mut Harness) -> usize {
    let engines = harness.cluster.engines.iter_mut();
    engines
        .map(|engine| engine.child.is_running().expect("failed to read the state"))
        .filter(|is_running| !is_running)
        .count()
}

fn problem(answer: &Answer) -> &Problem {
    match &answer.end {
        GenerateEnd::Problem(problem) => problem,
        other => panic!("the poison request ended as {other:?}"),
    }
}

/// A poison request that is sent to each entry in turn, and again once it is
/// quarantined, crashes at most two engines. Each refusal is final and carries a retry
/// delay.
#[tokio::test(flavor = "multi_thread")]
async fn poison_costs_two_engines() {
    let mut harness = Harness::start_with(plan_with_replicas(REPLICAS)).await;
    let (first, _) = harness.send_request(0, poison_request()).wait().await;
    assert_eq!(problem(&first).kind, ProblemKind::Quarantined);
    assert_eq!(problem(&first).outcome, Outcome::Failed);
    assert!(problem(&first).retry_after_ms.is_some());
    for round in 0..3 {
        for entry in 0..2 {
            let (again, _) = harness.send_request(entry, poison_request()).wait().await;
            assert_eq!(problem(&again).kind, ProblemKind::Quarantined, "{round}");
            assert_eq!(problem(&again).outcome, Outcome::NotRun);
            assert!(problem(&again).retry_after_ms.is_some());
        }
    }
    assert!(crashed_engines(&mut harness) <= MAX_CRASHED_ENGINES);
    let (answer, req) = harness.ask(1, "After the quarantine").wait().await;
    harness.check_answer(&answer, &req).await;
}

/// A poison request that is sent to the entries alternately, while earlier copies are
/// still in progress, crashes at most two engines.
#[tokio::test(flavor = "multi_thread")]
async fn poison_at_two_entries_in_turn() {
    let mut harness = Harness::start_with(plan_with_replicas(REPLICAS)).await;
    let mut running = Vec::new();
    for index in 0..12 {
        running.push(harness.send_request(index % 2, poison_request()));
        // By now every entry knows of the first crash, but maybe not of the second.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    for running in running {
        let (answer, _) = running.wait().await;
        assert_eq!(problem(&answer).kind, ProblemKind::Quarantined);
    }
    assert!(crashed_engines(&mut harness) <= MAX_CRASHED_ENGINES);
}

/// Returns the number of entries for [`poison_at_both_entries_at_once`].
fn entry_count() -> usize {
    let raw = std::env::var("MATRIX_POISON_ENTRIES").ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(2)
}

/// A poison request that is sent to both entries at the same time crashes at most two
/// engines; `MATRIX_POISON_ENTRIES` sets another number of entries.
#[tokio::test(flavor = "multi_thread")]
async fn poison_at_both_entries_at_once() {
    let entries = entry_count();
    for _ in 0..2 {
        let mut plan = plan_with_replicas(REPLICAS);
        plan.entries = entries;
        let mut harness = Harness::start_with(plan).await;
        let asked = (0..entries).map(|entry| harness.send_request(entry, poison_request()));
        let running: Vec<_> = asked.collect();
        for running in running {
            let (answer, _) = running.wait().await;
            assert_eq!(problem(&answer).kind, ProblemKind::Quarantined);
        }
        assert!(crashed_engines(&mut harness) <= MAX_CRASHED_ENGINES);
    }
}

/// Other requests on the crashed engines, in progress or just started, complete with
/// correct answers, and none of them is quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn poison_spares_bystanders() {
    let mut harness = Harness::start_with(plan_with_replicas(REPLICAS)).await;
    let mut running: Vec<_> = (0..16)
        .map(|index| harness.ask(index % 2, &format!("In progress, {index}")))
        .collect();
    running[0].wait_for_tokens(3).await;
    running.extend((0..8).map(|index| harness.ask(index % 2, &format!("Just begun, {index}"))));
    let poisoned = harness.send_request(0, poison_request());
    running.extend((8..16).map(|index| harness.ask(index % 2, &format!("Just begun, {index}"))));
    let (poisoned, _) = poisoned.wait().await;
    assert_eq!(problem(&poisoned).kind, ProblemKind::Quarantined);
    for running in running {
        let (answer, req) = running.wait().await;
        harness.check_answer(&answer, &req).await;
    }
    assert!(crashed_engines(&mut harness) <= MAX_CRASHED_ENGINES);
}
