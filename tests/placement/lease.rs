//! The placement lease: a paused controller gives no orders after it loses the lease, and
//! orders with an old fencing token are refused or corrected.

use std::time::Duration;

use pistachioyard_standins::PlatformFaults;
use pistachioyard_wire::{Fence, Order, OrderKind, OrderRefusal};

use crate::support::{DEPLOYMENT, Harness, NEXT_VERSION};

/// Builds an order to hold the version and layers with which the engine started.
fn old_order(harness: &Harness, engine: usize, fence: Fence, from: usize) -> Order {
    let spec = &harness.cluster.plan.engines[engine];
    Order {
        fence,
        from: harness.cluster.entries[from].name.parse().unwrap(),
        kind: OrderKind::Hold {
            model: DEPLOYMENT.model().parse().unwrap(),
            version: DEPLOYMENT.version().parse().unwrap(),
            layers: pistachioyard_wire::LayerRange::new(spec.first_layer, spec.end_layer).unwrap(),
            adapters: Vec::new(),
        },
    }
}

#[tokio::test]
async fn old_orders_are_refused_or_corrected() {
    let mut harness = Harness::start().await;
    let (old_holder, old_fence) = harness.lease_holder().await;
    harness.cluster.entries[old_holder].child.freeze().unwrap();
    harness
        .wait_for("another entry to hold the lease", || async {
            harness
                .read_lease()
                .await
                .is_some_and(|lease| lease.fence > old_fence)
        })
        .await;
    let (new_holder, new_fence) = harness.lease_holder().await;
    assert_ne!(new_holder, old_holder);
    let count_old_orders =
        |orders: Vec<Order>| orders.iter().filter(|o| o.fence == old_fence).count();
    let old_order_count = count_old_orders(harness.taken_orders().await);
    harness.apply_next_version(new_holder).await;
    harness.cluster.entries[old_holder].child.thaw().unwrap();
    let is_rolled_out = || async {
        let reports = harness.read_reports().await;
        reports.iter().all(|r| {
            !r.loading
                && r.version
                    .as_ref()
                    .is_some_and(|v| v.as_str() == NEXT_VERSION)
        })
    };
    harness
        .wait_for("the rollout to complete", is_rolled_out)
        .await;
    // The thawed controller gave no further order under its old fencing token.
    assert_eq!(
        count_old_orders(harness.taken_orders().await),
        old_order_count
    );
    for (index, spec) in harness.cluster.plan.engines.iter().enumerate() {
        let order = old_order(&harness, index, old_fence, old_holder);
        let body = serde_json::to_string(&order).unwrap();
        let to = harness.cluster.engines[index].address;
        let answer = harness
            .cluster
            .client
            .post(to, "/v1/orders", &[], body)
            .await;
        let answer = answer.unwrap();
        if spec.checks_fence {
            let refusal: OrderRefusal = serde_json::from_slice(&answer.body).unwrap();
            assert!(
                matches!(refusal, OrderRefusal::OldFence { seen, .. } if seen >= new_fence),
                "{refusal:?}"
            );
        } else {
            assert!(answer.status.is_success());
        }
    }
    harness
        .wait_for("the old orders to be corrected", is_rolled_out)
        .await;
    assert!(harness.covers_all_layers(NEXT_VERSION).await);
}

#[tokio::test]
async fn lost_renewal_answers_keep_the_lease_and_a_planned_stop_releases_it() {
    let mut harness = Harness::start().await;
    let (holder, fence) = harness.lease_holder().await;
    let lost = PlatformFaults {
        lose_answers: 3,
        ..PlatformFaults::default()
    };
    harness.cluster.set_platform_faults(&lost).await.unwrap();
    let renewed_after = harness.read_lease().await.unwrap().until_unix_ms + 4_000;
    harness
        .wait_for("the lease to be renewed later", || async {
            let lease = harness.read_lease().await;
            lease.is_some_and(|l| l.until_unix_ms > renewed_after)
        })
        .await;
    assert_eq!(harness.lease_holder().await, (holder, fence));
    harness.cluster.entries[holder].child.terminate().unwrap();
    harness
        .wait_for("the lease to be released or taken over", || async {
            let lease = harness.read_lease().await;
            lease.is_some_and(|l| l.until_unix_ms == 0 || l.fence > fence)
        })
        .await;
    harness
        .wait_for("another entry to hold the lease", || async {
            harness.read_lease().await.is_some_and(|l| l.fence > fence)
        })
        .await;
    assert_ne!(harness.lease_holder().await.0, holder);
    let exited = harness.cluster.entries[holder]
        .child
        .wait(Duration::from_secs(40));
    assert!(exited.await.unwrap().success());
}

#[tokio::test]
async fn a_deleted_lease_object_does_not_lower_the_fencing_token() {
    let harness = Harness::start().await;
    let (_, fence) = harness.lease_holder().await;
    let delete = serde_json::json!({"condition": "any", "value": null});
    let deleted: Result<pistachioyard_wire::WriteAnswer, _> = harness
        .cluster
        .client
        .put_json(
            harness.cluster.platform,
            "/objects/lease%2Fplacement",
            &delete,
        )
        .await;
    deleted.unwrap();
    harness
        .wait_for("a new lease to be written", || async {
            harness.read_lease().await.is_some()
        })
        .await;
    assert!(harness.lease_holder().await.1 > fence);
}
