//! Tests outages of the platform before, between and after the steps of an operation.

use std::time::Instant;

use pistachioyard_standins::{Deployment, PlatformFaults, ServiceFaults, wait_until};
use pistachioyard_wire::Outcome;

use crate::support::{Fixture, TIMEOUT, check_effects, millis, new_key, outcome};

/// The maximum duration of a refusal that does not wait for the outage to end, in milliseconds.
/// The timeout of a claim is far below it.
const MAX_REFUSAL_MS: u64 = 6_000;

fn platform_outage() -> PlatformFaults {
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
    let fixture = Fixture::start(Deployment::Obnova, 2).await;
    fixture.set_platform_faults(platform_outage()).await;
    let key = new_key();
    let result = fixture.operate(0, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
    let recorded = fixture.recorded(1, key).await;
    assert_eq!(recorded.map_err(|p| p.outcome), Err(Outcome::Unknown));
    assert_eq!(fixture.effects(key).await, 0);
    fixture.set_platform_faults(PlatformFaults::default()).await;
    let result = fixture.operate(1, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
    assert_eq!(fixture.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_recorded_after_the_outage_and_no_later_claim_waits_for_it() {
    let fixture = Fixture::start(Deployment::CradleCount, 2).await;
    fixture.set_service_faults(slow_service()).await;
    let key = new_key();
    let first = tokio::spawn(fixture.sender(0)(key, "{}".to_owned()));
    fixture.wait_for_effect(key).await;
    fixture.set_platform_faults(platform_outage()).await;
    let result = first.await.expect("the request task panicked");
    assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
    // By now the batch delay has passed and the write of the outcome is being retried. It must
    // not cause head-of-line blocking of claims on the same page.
    tokio::time::sleep(millis(300)).await;
    for (entry, expected) in [(0, Outcome::Unknown), (1, Outcome::NotRun)] {
        let asked_at = Instant::now();
        let repeated = tokio::time::timeout(TIMEOUT, fixture.operate(entry, key, "{}")).await;
        let repeated = repeated.expect("the entry did not respond while the platform was down");
        assert!(asked_at.elapsed() < millis(MAX_REFUSAL_MS), "{repeated:?}");
        assert_eq!(outcome(&repeated), expected, "{repeated:?}");
    }
    fixture.set_platform_faults(PlatformFaults::default()).await;
    fixture.wait_until_recorded(1, key).await;
    let again = fixture.operate(1, key, "{}").await;
    assert!(matches!(&again, Some(Ok(outcome)) if outcome.repeated));
    assert_eq!(fixture.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_during_an_outage_waits_until_the_outcome_is_recorded() {
    let mut fixture = Fixture::start(Deployment::Obnova, 2).await;
    fixture.set_service_faults(slow_service()).await;
    let key = new_key();
    let first = tokio::spawn(fixture.sender(0)(key, "{}".to_owned()));
    fixture.wait_for_effect(key).await;
    fixture.set_platform_faults(platform_outage()).await;
    let result = first.await.expect("the request task panicked");
    assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
    let child = &mut fixture.cluster.entries[0].child;
    child.terminate().expect("failed to send the stop signal");
    wait_until(TIMEOUT, "the entry to drain", || async {
        child.log().contains("entry: draining, ")
    })
    .await
    .expect("the entry did not drain");
    // This wait exceeds the time for which address lists are valid.
    tokio::time::sleep(millis(7_000)).await;
    assert!(
        child
            .is_running()
            .expect("failed to read the process state"),
        "{}",
        child.log()
    );
    fixture.set_platform_faults(PlatformFaults::default()).await;
    let child = &mut fixture.cluster.entries[0].child;
    child.wait(TIMEOUT).await.expect("the entry did not exit");
    let recorded = fixture.recorded(1, key).await;
    assert!(recorded.is_ok(), "{recorded:?}");
    assert_eq!(fixture.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_written_after_its_timeout_is_released_and_never_sent() {
    let fixture = Fixture::start(Deployment::Obnova, 2).await;
    // The delay exceeds the claim's timeout, so the claim is left undecided.
    fixture
        .set_platform_faults(PlatformFaults {
            delay_writes_ms: 2_500,
            ..PlatformFaults::default()
        })
        .await;
    let key = new_key();
    let first = tokio::spawn(fixture.sender(0)(key, "{}".to_owned()));
    tokio::time::sleep(millis(300)).await;
    // The claim may still be written, so the entry must not report a final outcome for the key.
    let recorded = fixture.recorded(1, key).await;
    assert_eq!(recorded.map_err(|p| p.outcome), Err(Outcome::Unknown));
    let result = first.await.expect("the request task panicked");
    assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
    fixture.set_platform_faults(PlatformFaults::default()).await;
    tokio::time::sleep(millis(3_000)).await;
    check_effects(&result, fixture.effects(key).await);
    let mut again = fixture.operate(1, key, "{}").await;
    let deadline = Instant::now() + TIMEOUT;
    while outcome(&again) != Outcome::Done && Instant::now() < deadline {
        again = fixture.operate(1, key, "{}").await;
    }
    assert_eq!(outcome(&again), Outcome::Done, "{again:?}");
    assert_eq!(fixture.effects(key).await, 1);
}
