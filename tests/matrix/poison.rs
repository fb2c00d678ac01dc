//! A request that crashes every engine that runs it.

use std::time::Duration;

use pistachioyard_standins::{Answer, GenerateEnd};
use pistachioyard_wire::{Outcome, Problem, ProblemKind};

use crate::support::{Trial, plan_with_copies, request};

/// The engines for each stage, so that a model has stages left after two crashes.
const COPIES: usize = 4;
/// The most engines that a request may cost.
const MAX_LOST: usize = 2;

fn poison() -> pistachioyard_wire::GenerateRequest {
    request("CRASH-ENGINE the south wall")
}

fn lost_engines(trial: &mut Trial) -> usize {
    let engines = trial.cluster.engines.iter_mut();
    engines
        .map(|engine| engine.child.is_running().expect("the state can be asked"))
        .filter(|is_running| !is_running)
        .count()
}

fn problem(answer: &Answer) -> &Problem {
    match &answer.end {
        GenerateEnd::Problem(problem) => problem,
        other => panic!("a poison request ended as {other:?}"),
    }
}

/// Sent at every entry, one after the other and again after its conviction, the
/// request costs two engines; its answer is final and says when to come back.
#[tokio::test(flavor = "multi_thread")]
async fn poison_costs_two_engines() {
    let mut trial = Trial::start_plan(plan_with_copies(COPIES)).await;
    let (first, _) = trial.ask_for(0, poison()).end().await;
    assert_eq!(problem(&first).kind, ProblemKind::Quarantined);
    assert_eq!(problem(&first).outcome, Outcome::Failed);
    assert!(problem(&first).retry_after_ms.is_some());
    for round in 0..3 {
        for entry in 0..2 {
            let (again, _) = trial.ask_for(entry, poison()).end().await;
            assert_eq!(problem(&again).kind, ProblemKind::Quarantined, "{round}");
            assert_eq!(problem(&again).outcome, Outcome::NotRun);
            assert!(problem(&again).retry_after_ms.is_some());
        }
    }
    assert!(lost_engines(&mut trial) <= MAX_LOST);
    let (answer, req) = trial.ask(1, "After the conviction").end().await;
    trial.check(&answer, &req).await;
}

/// Sent at a second entry while the first still works on it, and back, it costs
/// two engines.
#[tokio::test(flavor = "multi_thread")]
async fn poison_at_two_entries_in_turn() {
    let mut trial = Trial::start_plan(plan_with_copies(COPIES)).await;
    let mut running = Vec::new();
    for place in 0..12 {
        running.push(trial.ask_for(place % 2, poison()));
        // The first crash is known to all entries by now, the second may not be.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    for running in running {
        let (answer, _) = running.end().await;
        assert_eq!(problem(&answer).kind, ProblemKind::Quarantined);
    }
    assert!(lost_engines(&mut trial) <= MAX_LOST);
}

/// Returns the number of entries of [`poison_at_both_entries_at_once`].
fn entries_at_once() -> usize {
    let raw = std::env::var("MATRIX_POISON_ENTRIES").ok();
    raw.and_then(|raw| raw.parse().ok()).unwrap_or(2)
}

/// Sent at both entries at the same instant, it costs two engines;
/// `MATRIX_POISON_ENTRIES` sets another number of entries.
#[tokio::test(flavor = "multi_thread")]
async fn poison_at_both_entries_at_once() {
    let entries = entries_at_once();
    for _ in 0..2 {
        let mut plan = plan_with_copies(COPIES);
        plan.entries = entries;
        let mut trial = Trial::start_plan(plan).await;
        let asked = (0..entries).map(|entry| trial.ask_for(entry, poison()));
        let running: Vec<_> = asked.collect();
        for running in running {
            let (answer, _) = running.end().await;
            assert_eq!(problem(&answer).kind, ProblemKind::Quarantined);
        }
        assert!(lost_engines(&mut trial) <= MAX_LOST);
    }
}

/// Answers that share the crashed engines are whole and right, in progress or just
/// begun, and none of them is convicted.
#[tokio::test(flavor = "multi_thread")]
async fn poison_spares_bystanders() {
    let mut trial = Trial::start_plan(plan_with_copies(COPIES)).await;
    let mut running: Vec<_> = (0..16)
        .map(|place| trial.ask(place % 2, &format!("In progress, {place}")))
        .collect();
    running[0].reach(3).await;
    running.extend((0..8).map(|place| trial.ask(place % 2, &format!("Just begun, {place}"))));
    let guilty = trial.ask_for(0, poison());
    running.extend((8..16).map(|place| trial.ask(place % 2, &format!("Just begun, {place}"))));
    let (guilty, _) = guilty.end().await;
    assert_eq!(problem(&guilty).kind, ProblemKind::Quarantined);
    for running in running {
        let (answer, req) = running.end().await;
        trial.check(&answer, &req).await;
    }
    assert!(lost_engines(&mut trial) <= MAX_LOST);
}
