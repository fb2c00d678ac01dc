//! Expired pages of the claim ledger are deleted, younger ones stay.

use pistachioyard_policy::{LedgerLayout, LedgerPage};
use pistachioyard_standins::{Deployment, wait_until};
use pistachioyard_wire::{ObjectKey, ObjectRecord, ObjectWrite, WriteAnswer, WriteCondition};

use crate::support::{Bench, LONG, new_key};

const HOUR_BUCKETS: u64 = 60;
/// The deletions that one look may make, with room for claims.
const MAX_WRITES: u64 = 8 * 16 + 40;

async fn write(bench: &Bench, key: &ObjectKey, value: String) {
    let path = format!("/objects/{}", key.to_path_segment());
    let write = ObjectWrite {
        condition: WriteCondition::Any,
        value: Some(value),
    };
    let platform = bench.cluster.platform;
    let client = &bench.cluster.client;
    let written: WriteAnswer = client
        .put_json(platform, &path, &write)
        .await
        .expect("an answer");
    assert!(matches!(written, WriteAnswer::Written(_)));
}

async fn exists(bench: &Bench, key: &ObjectKey) -> bool {
    let path = format!("/objects/{}", key.to_path_segment());
    let read = bench
        .cluster
        .client
        .get_json::<ObjectRecord>(bench.cluster.platform, &path);
    read.await.is_ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_pages_are_deleted_and_younger_ones_stay() {
    let mut bench = Bench::start(Deployment::Obnova, 2).await;
    let key = new_key();
    let first = bench.operate(0, key, "{}").await;
    let first = first.expect("an answer").expect("it is done");
    bench.wait_until_recorded(1, key).await;
    let shape = LedgerLayout::default();
    let now = key.created_unix_ms() / shape.bucket_ms;
    let page = |bucket, slot| shape.bucket_pages(bucket).nth(slot).expect("a page");
    let start = now - 60 * HOUR_BUCKETS;
    let expired = [page(start, 0), page(start, 15), page(start + 7, 3)];
    // Too old for claims, but kept for clocks that differ.
    let kept = [page(now - 30 * HOUR_BUCKETS, 0), shape.page_key(key)];
    let empty = LedgerPage::default().to_text();
    for page in expired.iter().chain(&kept[..1]) {
        write(&bench, page, empty.clone()).await;
    }
    let cursor = ObjectKey("ledger/collected".into());
    write(&bench, &cursor, format!("{{\"next_bucket\":{start}}}")).await;
    bench.cluster.entries[0].child.kill().expect("it ends");
    let before = bench.writes().await;
    bench.cluster.restart_entry(0).await.expect("it starts");
    wait_until(LONG, "the expired pages to be deleted", || async {
        let mut found = false;
        for page in &expired {
            found |= exists(&bench, page).await;
        }
        !found
    })
    .await
    .expect("they are deleted");
    assert!(bench.writes().await - before <= MAX_WRITES * 2);
    for page in &kept {
        assert!(exists(&bench, page).await, "{page}");
    }
    bench.wait_usable(0, 3).await;
    let again = bench.operate(0, key, "{}").await;
    let again = again.expect("an answer").expect("the first outcome");
    assert_eq!(again.answer, first.answer);
    assert_eq!(bench.effects(key).await, 1);
}
