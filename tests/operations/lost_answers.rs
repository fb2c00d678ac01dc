//! Tests operations whose response is lost after the effect, or that a service refuses.

use std::time::Duration;

use pistachioyard_standins::{Deployment, PlatformFaults, ServiceFaults};
use pistachioyard_wire::{Outcome, ProblemKind};

use crate::support::{Fixture, check_effects, key_with_age, new_key, outcome};

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_platform_answer_neither_loses_nor_doubles_an_operation() {
    let fixture = Fixture::start(Deployment::Obnova, 2).await;
    for lost in 1..=3 {
        let key = new_key();
        fixture
            .set_platform_faults(PlatformFaults {
                lose_answers: lost,
                ..PlatformFaults::default()
            })
            .await;
        let result = fixture.operate(0, key, "{}").await;
        check_effects(&result, fixture.effects(key).await);
        assert_eq!(
            outcome(&result),
            Outcome::Done,
            "{lost} lost responses: {result:?}"
        );
        fixture.wait_until_recorded(1, key).await;
        let again = fixture.operate(1, key, "{}").await;
        assert!(matches!(&again, Some(Ok(outcome)) if outcome.repeated));
        assert_eq!(fixture.effects(key).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_service_answer_is_unknown_and_stays_so() {
    let fixture = Fixture::start(Deployment::CradleCount, 2).await;
    let key = new_key();
    fixture
        .set_service_faults(ServiceFaults {
            drop_answer: 1,
            ..ServiceFaults::default()
        })
        .await;
    let result = fixture.operate(0, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::Unknown, "{result:?}");
    for entry in [0, 1, 0, 1] {
        let again = fixture.operate(entry, key, "{}").await;
        assert_eq!(outcome(&again), Outcome::Unknown, "{again:?}");
        let recorded = fixture.recorded(entry, key).await;
        assert_eq!(recorded.map_err(|p| p.outcome), Err(Outcome::Unknown));
    }
    assert_eq!(fixture.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_operation_goes_to_another_endpoint_or_its_key_may_be_used_again() {
    let fixture = Fixture::start(Deployment::Obnova, 2).await;
    let refuse = |refuse| ServiceFaults {
        refuse,
        ..ServiceFaults::default()
    };
    let first = &fixture.cluster.services[0];
    let _: () = fixture
        .cluster
        .client
        .put_json(first.address, "/control/faults", &refuse(1_000))
        .await
        .expect("the service rejected the faults");
    for _ in 0..6 {
        let key = new_key();
        let result = fixture.operate(0, key, "{}").await;
        assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
        check_effects(&result, fixture.effects(key).await);
    }
    fixture.set_service_faults(refuse(1_000)).await;
    let key = new_key();
    let result = fixture.operate(0, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
    check_effects(&result, fixture.effects(key).await);
    fixture.set_service_faults(refuse(0)).await;
    let result = fixture.operate(1, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
    check_effects(&result, fixture.effects(key).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_live_endpoint_an_operation_is_not_run_and_its_key_may_be_used_again() {
    let mut fixture = Fixture::start(Deployment::CradleCount, 2).await;
    for service in &mut fixture.cluster.services {
        service.child.kill().expect("failed to kill the service");
    }
    let key = new_key();
    let result = fixture.operate(0, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
    fixture.wait_for_usable_services(1, 0).await;
    let result = fixture.operate(1, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::NotRun, "{result:?}");
    for index in 0..fixture.cluster.services.len() {
        fixture
            .cluster
            .restart_service(index)
            .expect("failed to restart the service");
    }
    fixture.wait_for_usable_services(1, 3).await;
    let result = fixture.operate(1, key, "{}").await;
    assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
    assert_eq!(fixture.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_cannot_be_relied_on_is_refused() {
    let fixture = Fixture::start(Deployment::Obnova, 2).await;
    let key = new_key();
    let result = fixture.operate(0, key, "{\"a\":1}").await;
    assert_eq!(outcome(&result), Outcome::Done, "{result:?}");
    let kind = |result| match result {
        Some(Err(pistachioyard_wire::Problem { kind, status, .. })) => Some((kind, status)),
        _ => None,
    };
    let result = fixture.operate(1, key, "{\"a\":2}").await;
    assert_eq!(kind(result), Some((ProblemKind::KeyReused, 409)));
    let day = Duration::from_secs(86_400);
    let result = fixture.operate(1, key_with_age(day * 2), "{}").await;
    assert_eq!(kind(result), Some((ProblemKind::KeyTooOld, 410)));
    assert_eq!(fixture.effects(key).await, 1);
    let address = fixture.cluster.entries[0].caller;
    let (service, call) = fixture.deployment.service_call();
    let path = format!("/v1/operations/{service}?call={call}");
    let version_4 = uuid::Uuid::new_v4().to_string();
    for key in [None, Some("7"), Some(""), Some(version_4.as_str())] {
        let mut headers = vec![("x-workspace", fixture.deployment.workspaces().0)];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let answer = fixture.cluster.client.post(address, &path, &headers, "{}");
        let answer = answer.await.expect("the entry did not respond");
        let problem: pistachioyard_wire::Problem =
            serde_json::from_slice(&answer.body).expect("the body is not a problem");
        assert_eq!(problem.kind, ProblemKind::BadKey, "{key:?}");
        assert_eq!(problem.outcome, Outcome::NotRun, "{key:?}");
    }
}
