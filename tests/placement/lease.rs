//! A controller that was paused gives no orders; old orders do no lasting harm.

use std::time::Duration;

use pistachioyard_standins::PlatformFaults;
use pistachioyard_wire::{Fence, Order, OrderKind, OrderRefusal};

use crate::support::{Bed, DEPLOYMENT, NEXT_VERSION};

/// An order to hold what an engine held at first, as an old controller gives it.
fn old_order(bed: &Bed, engine: usize, fence: Fence, from: usize) -> Order {
    let spec = &bed.cluster.plan.engines[engine];
    Order {
        fence,
        from: bed.cluster.entries[from].name.parse().unwrap(),
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
    let mut bed = Bed::start().await;
    let (old_holder, old_fence) = bed.holder().await;
    bed.cluster.entries[old_holder].child.freeze().unwrap();
    bed.wait("another holder", || async {
        bed.lease()
            .await
            .is_some_and(|lease| lease.fence > old_fence)
    })
    .await;
    let (new_holder, new_fence) = bed.holder().await;
    assert_ne!(new_holder, old_holder);
    let old_orders = |orders: Vec<Order>| orders.iter().filter(|o| o.fence == old_fence).count();
    let given = old_orders(bed.orders().await);
    bed.apply_next_version(new_holder).await;
    bed.cluster.entries[old_holder].child.thaw().unwrap();
    let rolled_out = || async {
        let reports = bed.reports().await;
        reports.iter().all(|r| {
            !r.loading
                && r.version
                    .as_ref()
                    .is_some_and(|v| v.as_str() == NEXT_VERSION)
        })
    };
    bed.wait("the rollout", rolled_out).await;
    // The thawed process gave no order of its own under the old number.
    assert_eq!(old_orders(bed.orders().await), given);
    for (place, spec) in bed.cluster.plan.engines.iter().enumerate() {
        let order = old_order(&bed, place, old_fence, old_holder);
        let body = serde_json::to_string(&order).unwrap();
        let to = bed.cluster.engines[place].address;
        let answer = bed.cluster.client.post(to, "/v1/orders", &[], body).await;
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
    bed.wait("the old orders to be corrected", rolled_out).await;
    assert!(bed.is_covered(NEXT_VERSION).await);
}

#[tokio::test]
async fn lost_answers_to_renewals_cost_no_lease_and_a_planned_stop_gives_it_up() {
    let mut bed = Bed::start().await;
    let (holder, fence) = bed.holder().await;
    let lost = PlatformFaults {
        lose_answers: 3,
        ..PlatformFaults::default()
    };
    bed.cluster.set_platform_faults(&lost).await.unwrap();
    let renewed_after = bed.lease().await.unwrap().until_unix_ms + 4_000;
    bed.wait("later renewals", || async {
        let lease = bed.lease().await;
        lease.is_some_and(|l| l.until_unix_ms > renewed_after)
    })
    .await;
    assert_eq!(bed.holder().await, (holder, fence));
    bed.cluster.entries[holder].child.terminate().unwrap();
    bed.wait("the lease to end or change hands", || async {
        let lease = bed.lease().await;
        lease.is_some_and(|l| l.until_unix_ms == 0 || l.fence > fence)
    })
    .await;
    bed.wait("another holder", || async {
        bed.lease().await.is_some_and(|l| l.fence > fence)
    })
    .await;
    assert_ne!(bed.holder().await.0, holder);
    let exited = bed.cluster.entries[holder]
        .child
        .wait(Duration::from_secs(40));
    assert!(exited.await.unwrap().success());
}

#[tokio::test]
async fn a_lost_lease_object_does_not_lower_the_fencing_number() {
    let bed = Bed::start().await;
    let (_, fence) = bed.holder().await;
    let delete = serde_json::json!({"condition": "any", "value": null});
    let deleted: Result<pistachioyard_wire::WriteAnswer, _> = bed
        .cluster
        .client
        .put_json(bed.cluster.platform, "/objects/lease%2Fplacement", &delete)
        .await;
    deleted.unwrap();
    bed.wait("a new lease", || async { bed.lease().await.is_some() })
        .await;
    assert!(bed.holder().await.1 > fence);
}
