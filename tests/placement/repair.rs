//! Layers that no endpoint holds any more are loaded by another endpoint.

use std::time::{Duration, Instant};

use pistachioyard_standins::PlatformFaults;

use crate::support::{DEPLOYMENT, Harness, is_correct_for};

/// Exceeds the lease duration plus the time to confirm that an endpoint is lost.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_secs(7);

/// Returns whether a request gets a correct answer; panics on a complete but wrong one.
async fn serves(harness: &Harness, prompt: &str) -> bool {
    let (req, answer) = harness.generate(0, prompt, 12).await;
    let is_correct = is_correct_for(&req, &answer, DEPLOYMENT.version());
    let is_whole = answer.end == pistachioyard_standins::GenerateEnd::Complete;
    assert!(
        is_correct || !is_whole,
        "a complete answer is wrong: {answer:?}"
    );
    is_correct
}

#[tokio::test]
async fn a_lost_layer_range_is_loaded_by_another_endpoint() {
    let mut harness = Harness::start().await;
    assert!(serves(&harness, "before").await);
    harness.kill_first_range();
    let lost_at = Instant::now();
    harness
        .wait_for("every layer of the model to be held", || {
            harness.covers_all_layers(DEPLOYMENT.version())
        })
        .await;
    println!("all layers held again after {:?}", lost_at.elapsed());
    harness
        .wait_for("a correct answer", || serves(&harness, "after"))
        .await;
    println!("served again after {:?}", lost_at.elapsed());
}

#[tokio::test]
async fn a_platform_outage_stops_orders_but_not_pipelines() {
    let mut harness = Harness::start().await;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    harness.cluster.set_platform_faults(&down).await.unwrap();
    tokio::time::sleep(LEASE_EXPIRY_WAIT).await;
    assert!(serves(&harness, "outage").await);
    let before = harness.taken_orders().await.len();
    harness.kill_first_range();
    let count = |orders: Vec<_>| orders.len();
    let survivors = count(harness.taken_orders().await);
    tokio::time::sleep(LEASE_EXPIRY_WAIT).await;
    assert!(survivors <= before);
    assert_eq!(count(harness.taken_orders().await), survivors);
    let up = PlatformFaults::default();
    harness.cluster.set_platform_faults(&up).await.unwrap();
    harness
        .wait_for("a correct answer", || serves(&harness, "after"))
        .await;
}
