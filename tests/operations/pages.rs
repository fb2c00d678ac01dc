//! Tests that expired pages of the claim ledger are deleted and newer ones are kept.

use pistachioyard_policy::{LedgerLayout, LedgerPage};
use pistachioyard_standins::{Deployment, wait_until};
use pistachioyard_wire::{ObjectKey, ObjectRecord, ObjectWrite, WriteAnswer, WriteCondition};

use crate::support::{Fixture, TIMEOUT, new_key};

/// The number of the ledger's time buckets per hour.
const BUCKETS_PER_HOUR: u64 = 60;
/// The maximum number of writes of one garbage collection run: the deletion of 8 buckets of 16
/// pages, and an allowance for claims.
const MAX_WRITES: u64 = 8 * 16 + 40;

async fn write(fixture: &Fixture, key: &ObjectKey, value: String) {
    let path = format!("/objects/{}", key.to_path_segment());
    let write = ObjectWrite {
        condition: WriteCondition::Any,
        value: Some(value),
    };
    let platform = fixture.cluster.platform;
    let client = &fixture.cluster.client;
    let written: WriteAnswer = client
        .put_json(platform, &path, &write)
        .await
        .expect("the platform did not respond");
    assert!(matches!(written, WriteAnswer::Written(_)));
}

async fn exists(fixture: &Fixture, key: &ObjectKey) -> bool {
    let path = format!("/objects/{}", key.to_path_segment());
    let read = fixture
        .cluster
        .client
        .get_json::<ObjectRecord>(fixture.cluster.platform, &path);
    read.await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_pages_are_deleted_and_newer_ones_are_kept() {
    let mut fixture = Fixture::start(Deployment::Obnova, 2).await;
    let key = new_key();
    let first = fixture.operate(0, key, "{}").await;
    let first = first
        .expect("the entry did not respond")
        .expect("the operation was not done");
    fixture.wait_until_recorded(1, key).await;
    let layout = LedgerLayout::default();
    let current = key.created_unix_ms() / layout.bucket_ms;
    let page = |bucket, slot| {
        layout
            .bucket_pages(bucket)
            .nth(slot)
            .expect("the bucket has no such slot")
    };
    let oldest = current - 60 * BUCKETS_PER_HOUR;
    let expired = [page(oldest, 0), page(oldest, 15), page(oldest + 7, 3)];
    // The first page is too old for claims, but is kept to allow for clock skew.
    let kept = [
        page(current - 30 * BUCKETS_PER_HOUR, 0),
        layout.page_key(key),
    ];
    let empty = LedgerPage::default().to_text();
    for page in expired.iter().chain(&kept[..1]) {
        write(&fixture, page, empty.clone()).await;
    }
    let cursor = ObjectKey("ledger/collected".into());
    write(&fixture, &cursor, format!("{{\"next_bucket\":{oldest}}}")).await;
    fixture.cluster.entries[0]
        .child
        .kill()
        .expect("failed to kill the entry");
    let before = fixture.writes().await;
    fixture
        .cluster
        .restart_entry(0)
        .await
        .expect("failed to restart the entry");
    wait_until(TIMEOUT, "the expired pages to be deleted", || async {
        let mut found = false;
        for page in &expired {
            found |= exists(&fixture, page).await;
        }
        !found
    })
    .await
    .expect("the expired pages were not deleted");
    assert!(fixture.writes().await - before <= MAX_WRITES * 2);
    for page in &kept {
        assert!(exists(&fixture, page).await, "{page}");
    }
    fixture.wait_for_usable_services(0, 3).await;
    let again = fixture.operate(0, key, "{}").await;
    let again = again
        .expect("the entry did not respond")
        .expect("the operation has no recorded outcome");
    assert_eq!(again.answer, first.answer);
    assert_eq!(fixture.effects(key).await, 1);
}
