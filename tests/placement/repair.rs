//! Layers that nobody holds any more are loaded elsewhere.

use std::time::{Duration, Instant};

use pistachioyard_standins::PlatformFaults;

use crate::support::{Bed, DEPLOYMENT, is_right_for};

/// Longer than a lease without renewal and the confirmation of a loss.
const LEASE_OVER: Duration = Duration::from_secs(7);

async fn generates(bed: &Bed, prompt: &str) -> bool {
    let (req, answer) = bed.generate(0, prompt, 12).await;
    let is_right = is_right_for(&req, &answer, DEPLOYMENT.version());
    let is_whole = answer.end == pistachioyard_standins::GenerateEnd::Complete;
    assert!(is_right || !is_whole, "a wrong answer: {answer:?}");
    is_right
}

#[tokio::test]
async fn a_range_lost_for_good_is_held_by_another_endpoint() {
    let mut bed = Bed::start().await;
    assert!(generates(&bed, "before").await);
    bed.lose_first_range();
    let lost_at = Instant::now();
    bed.wait("the model to be covered", || {
        bed.is_covered(DEPLOYMENT.version())
    })
    .await;
    println!("covered again after {:?}", lost_at.elapsed());
    bed.wait("an answer", || generates(&bed, "after")).await;
    println!("served again after {:?}", lost_at.elapsed());
}

#[tokio::test]
async fn without_the_platform_nothing_is_ordered_and_chains_go_on() {
    let mut bed = Bed::start().await;
    let down = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    bed.cluster.set_platform_faults(&down).await.unwrap();
    tokio::time::sleep(LEASE_OVER).await;
    assert!(generates(&bed, "outage").await);
    let before = bed.orders().await.len();
    bed.lose_first_range();
    let left = |orders: Vec<_>| orders.len();
    let survivors = left(bed.orders().await);
    tokio::time::sleep(LEASE_OVER).await;
    assert!(survivors <= before);
    assert_eq!(left(bed.orders().await), survivors);
    let up = PlatformFaults::default();
    bed.cluster.set_platform_faults(&up).await.unwrap();
    bed.wait("an answer", || generates(&bed, "after")).await;
}
