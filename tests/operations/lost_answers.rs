//! Answers that are lost after the effect, and services that refuse.

use std::time::Duration;

use pistachioyard_standins::{Deployment, PlatformFaults, ServiceFaults};
use pistachioyard_wire::{Outcome, ProblemKind};

use crate::support::{Bench, check, key_of_age, new_key, outcome};

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_platform_answer_neither_loses_nor_doubles_an_operation() {
    let bench = Bench::start(Deployment::Obnova, 2).await;
    for lost in 1..=3 {
        let key = new_key();
        bench
            .platform(PlatformFaults {
                lose_answers: lost,
                ..PlatformFaults::default()
            })
            .await;
        let told = bench.operate(0, key, "{}").await;
        check(&told, bench.effects(key).await);
        assert_eq!(outcome(&told), Outcome::Done, "{lost} lost: {told:?}");
        bench.wait_until_recorded(1, key).await;
        let again = bench.operate(1, key, "{}").await;
        assert!(matches!(&again, Some(Ok(outcome)) if outcome.repeated));
        assert_eq!(bench.effects(key).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_service_answer_is_unknown_and_stays_so() {
    let bench = Bench::start(Deployment::CradleCount, 2).await;
    let key = new_key();
    bench
        .services(ServiceFaults {
            drop_answer: 1,
            ..ServiceFaults::default()
        })
        .await;
    let told = bench.operate(0, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::Unknown, "{told:?}");
    for entry in [0, 1, 0, 1] {
        let again = bench.operate(entry, key, "{}").await;
        assert_eq!(outcome(&again), Outcome::Unknown, "{again:?}");
        let recorded = bench.recorded(entry, key).await;
        assert_eq!(recorded.map_err(|p| p.outcome), Err(Outcome::Unknown));
    }
    assert_eq!(bench.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_operation_goes_to_another_endpoint_or_its_key_may_be_used_again() {
    let bench = Bench::start(Deployment::Obnova, 2).await;
    let refuse = |refuse| ServiceFaults {
        refuse,
        ..ServiceFaults::default()
    };
    let first = &bench.cluster.services[0];
    let _: () = bench
        .cluster
        .client
        .put_json(first.address, "/control/faults", &refuse(1_000))
        .await
        .expect("the service takes faults");
    for _ in 0..6 {
        let key = new_key();
        let told = bench.operate(0, key, "{}").await;
        assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
        check(&told, bench.effects(key).await);
    }
    bench.services(refuse(1_000)).await;
    let key = new_key();
    let told = bench.operate(0, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::NotRun, "{told:?}");
    check(&told, bench.effects(key).await);
    bench.services(refuse(0)).await;
    let told = bench.operate(1, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
    check(&told, bench.effects(key).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_live_endpoint_an_operation_is_not_run_and_its_key_may_be_used_again() {
    let mut bench = Bench::start(Deployment::CradleCount, 2).await;
    for service in &mut bench.cluster.services {
        service.child.kill().expect("the service ends");
    }
    let key = new_key();
    let told = bench.operate(0, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::NotRun, "{told:?}");
    bench.wait_usable(1, 0).await;
    let told = bench.operate(1, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::NotRun, "{told:?}");
    for place in 0..bench.cluster.services.len() {
        bench.cluster.restart_service(place).expect("it starts");
    }
    bench.wait_usable(1, 3).await;
    let told = bench.operate(1, key, "{}").await;
    assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
    assert_eq!(bench.effects(key).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_cannot_be_relied_on_is_refused() {
    let bench = Bench::start(Deployment::Obnova, 2).await;
    let key = new_key();
    let told = bench.operate(0, key, "{\"a\":1}").await;
    assert_eq!(outcome(&told), Outcome::Done, "{told:?}");
    let kind = |told| match told {
        Some(Err(pistachioyard_wire::Problem { kind, status, .. })) => Some((kind, status)),
        _ => None,
    };
    let told = bench.operate(1, key, "{\"a\":2}").await;
    assert_eq!(kind(told), Some((ProblemKind::KeyReused, 409)));
    let day = Duration::from_secs(86_400);
    let told = bench.operate(1, key_of_age(day * 2), "{}").await;
    assert_eq!(kind(told), Some((ProblemKind::KeyTooOld, 410)));
    assert_eq!(bench.effects(key).await, 1);
    let address = bench.cluster.entries[0].caller;
    let (service, call) = bench.deployment.service_call();
    let path = format!("/v1/operations/{service}?call={call}");
    let version_4 = uuid::Uuid::new_v4().to_string();
    for key in [None, Some("7"), Some(""), Some(version_4.as_str())] {
        let mut headers = vec![("x-workspace", bench.deployment.workspaces().0)];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let answer = bench.cluster.client.post(address, &path, &headers, "{}");
        let answer = answer.await.expect("an answer");
        let problem: pistachioyard_wire::Problem =
            serde_json::from_slice(&answer.body).expect("a problem");
        assert_eq!(problem.kind, ProblemKind::BadKey, "{key:?}");
        assert_eq!(problem.outcome, Outcome::NotRun, "{key:?}");
    }
}
