//! Tests the service stand-in: effects, dropped answers and refusals.

use std::net::SocketAddr;

use pistachioyard_standins::{
    EffectAnswer, EffectRecord, HttpAnswer, HttpClientError, ServiceFaults,
};
use pistachioyard_wire::EndpointReport;

use crate::support::Harness;

async fn call(harness: &Harness, service: SocketAddr) -> Result<HttpAnswer, HttpClientError> {
    let headers = [("idempotency-key", "key-1")];
    harness
        .client
        .post(service, "/v1/calls/submit", &headers, "body")
        .await
}

async fn set_faults(harness: &Harness, service: SocketAddr, faults: ServiceFaults) {
    let accepted = harness
        .client
        .put_json::<_, ()>(service, "/control/faults", &faults);
    accepted.await.expect("accepted faults");
}

async fn counts(harness: &Harness, service: SocketAddr) -> Vec<u64> {
    let effects = harness.client.get_json(service, "/control/effects");
    let effects: Vec<EffectRecord> = effects.await.expect("a list of effects");
    effects.iter().map(|effect| effect.count).collect()
}

#[tokio::test]
async fn a_repeated_call_is_counted_twice() {
    let harness = Harness::new();
    let (_child, service) = harness.start_service().await;
    for n in 1..=2 {
        let answer = call(&harness, service).await.unwrap();
        assert_eq!(answer.json::<EffectAnswer>().unwrap().effect, n);
    }
    assert_eq!(counts(&harness, service).await, [2]);
}

#[tokio::test]
async fn a_dropped_answer_took_effect_and_a_refusal_did_not() {
    let harness = Harness::new();
    let (_child, service) = harness.start_service().await;
    let faults = ServiceFaults {
        drop_answer: 1,
        refuse: 1,
        ..ServiceFaults::default()
    };
    set_faults(&harness, service, faults).await;
    let refused = call(&harness, service).await.unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(refused.headers["x-not-run"], "true");
    assert!(counts(&harness, service).await.is_empty());

    let dropped = call(&harness, service).await;
    assert!(
        matches!(dropped, Err(HttpClientError::NoAnswer { .. })),
        "{dropped:?}"
    );
    assert_eq!(counts(&harness, service).await, [1]);
}

#[tokio::test]
async fn the_report_names_the_service_and_its_draining() {
    let harness = Harness::new();
    let (_child, service) = harness.start_service().await;
    let report = async || -> EndpointReport {
        let report = harness.client.get_json(service, "/v1/report");
        report.await.unwrap()
    };
    let before = report().await;
    assert_eq!(before.service.unwrap().as_str(), "submissions");
    assert!(!before.draining);
    let draining = ServiceFaults {
        draining: true,
        ..ServiceFaults::default()
    };
    set_faults(&harness, service, draining).await;
    let after = report().await;
    assert!(after.draining);
    assert_eq!(after.boot, before.boot);
}
