//! The platform is down before, between or after the steps of an operation.

use std::time::Instant;

use pistachioyard_standins::{Deployment, PlatformFaults, ServiceFaults, wait_until};
use pistachioyard_wire::Outcome;

use crate::support::{Bench, LONG, check, millis, new_key, outcome};

/// A refusal that waits for no outage; the claim's own limit is far below it.
const PROMPT_MS: u64 = 6_000;

fn down() -> PlatformFaults {
    PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }
}

fn slow_service() -> ServiceFaults {
    ServiceFaults {
        latency_ms: 1_500,
        ..ServiceFaults::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_platform_is_down_operations_are_not_run() {
    let bench = Bench::start(Deployment::Obnova, 2).await;
    bench.platform(down()).await;
    let key = new_key();
    let told = bench.operate(0, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::NotRun, "{told:?}");
    let recorded = bench.recorded(1, key).await;
    assert_eq!(recorded.map_err(|p| p.outcome), Err(Outcome::Unknown));
    assert_eq!(bench.effects(key).await, 0);
    bench.platform(PlatformFaults::default()).await;
    let told = bench.operate(1, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
    assert_eq!(bench.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_recorded_after_the_outage_and_no_later_claim_waits_for_it() {
    let bench = Bench::start(Deployment::CradleCount, 2).await;
    bench.services(slow_service()).await;
    let key = new_key();
    let first = tokio::spawn(bench.sender(0)(key, "{}".to_owned()));
    bench.wait_for_effect(key).await;
    bench.platform(down()).await;
    let told = first.await.expect("no panic");
    assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
    // The outcome is waiting to be written now, and must not hold back claims on
    // the same page. It is past the time in which changes are gathered.
    tokio::time::sleep(millis(300)).await;
    for (entry, expected) in [(0, Outcome::Unknown), (1, Outcome::NotRun)] {
        let asked_at = Instant::now();
        let repeated = tokio::time::timeout(LONG, bench.operate(entry, key, "{}")).await;
        let repeated = repeated.expect("an answer while the platform is down");
        assert!(asked_at.elapsed() < millis(PROMPT_MS), "{repeated:?}");
        assert_eq!(outcome(&repeated), expected, "{repeated:?}");
    }
    bench.platform(PlatformFaults::default()).await;
    bench.wait_until_recorded(1, key).await;
    let again = bench.operate(1, key, "{}").await;
    assert!(matches!(&again, Some(Ok(outcome)) if outcome.repeated));
    assert_eq!(bench.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_during_an_outage_waits_until_the_outcome_is_recorded() {
    let mut bench = Bench::start(Deployment::Obnova, 2).await;
    bench.services(slow_service()).await;
    let key = new_key();
    let first = tokio::spawn(bench.sender(0)(key, "{}".to_owned()));
    bench.wait_for_effect(key).await;
    bench.platform(down()).await;
    let told = first.await.expect("no panic");
    assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
    let child = &mut bench.cluster.entries[0].child;
    child.terminate().expect("it is signalled");
    wait_until(LONG, "the drain", || async {
        child.log().contains("entry: draining, ")
    })
    .await
    .expect("it drains");
    // Longer than the time for which address lists are valid.
    tokio::time::sleep(millis(7_000)).await;
    assert!(child.is_running().expect("its state"), "{}", child.log());
    bench.platform(PlatformFaults::default()).await;
    let child = &mut bench.cluster.entries[0].child;
    child.wait(LONG).await.expect("it ends");
    let recorded = bench.recorded(1, key).await;
    assert!(recorded.is_ok(), "{recorded:?}");
    assert_eq!(bench.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_lands_late_is_released_and_never_sent() {
    let bench = Bench::start(Deployment::Obnova, 2).await;
    // Longer than the claim's limit, so the claim is left undecided.
    bench
        .platform(PlatformFaults {
            delay_writes_ms: 2_500,
            ..PlatformFaults::default()
        })
        .await;
    let key = new_key();
    let first = tokio::spawn(bench.sender(0)(key, "{}".to_owned()));
    tokio::time::sleep(millis(300)).await;
    // A request may still be on its way, so nothing final can be said of the key.
    let recorded = bench.recorded(1, key).await;
    assert_eq!(recorded.map_err(|p| p.outcome), Err(Outcome::Unknown));
    let told = first.await.expect("no panic");
    assert_eq!(outcome(&told), Outcome::NotRun, "{told:?}");
    bench.platform(PlatformFaults::default()).await;
    tokio::time::sleep(millis(3_000)).await;
    check(&told, bench.effects(key).await);
    let mut again = bench.operate(1, key, "{}").await;
    let deadline = Instant::now() + LONG;
    while outcome(&again) != Outcome::Done && Instant::now() < deadline {
        again = bench.operate(1, key, "{}").await;
    }
    assert_eq!(outcome(&again), Outcome::Done, "{again:?}");
    assert_eq!(bench.effects(key).await, 1);
}
