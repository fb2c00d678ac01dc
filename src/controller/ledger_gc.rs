//! Garbage collection of the claim ledger: deletes expired pages.
//!
//! A cursor object records how far the pages have been deleted, so that a new process
//! continues where another one stopped. Deleting a page twice is harmless
//! (`docs/design/claim-ledger.md`).

use pistachioyard_wire::{ObjectKey, WriteCondition};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::error::CallError;
use crate::ledger::unix_ms;
use crate::prelude::*;

/// How often expired pages are collected, in milliseconds.
const INTERVAL_MS: u64 = 60_000;
/// The range of the random delay before a process's first collection, in milliseconds.
const FIRST_DELAY_MS: std::ops::Range<u64> = 15_000..25_000;
/// The maximum number of time buckets whose pages are deleted in one collection.
const MAX_BUCKETS: u64 = 8;
/// The pause after each deletion, in milliseconds.
const DELETE_PAUSE_MS: u64 = 10;
/// How long expired pages are kept, in milliseconds. An entry whose clock is ahead by less
/// than this deletes no page that others still use.
const KEEP_EXPIRED_MS: u64 = 24 * 3_600_000;
/// The key of the cursor object.
const CURSOR_KEY: &str = "ledger/collected";

/// Records how far the pages have been deleted.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Cursor {
    /// The first time bucket whose pages may still exist.
    next_bucket: u64,
}

/// Deletes expired pages at every interval.
pub(crate) async fn run(node: Arc<Node>) {
    let first_delay = node.rng.lock().random_range(FIRST_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(first_delay)).await;
    loop {
        if let Err(e) = collect(&node).await {
            spdlog::debug!("ledger: cannot delete expired pages: {e}");
        }
        tokio::time::sleep(Duration::from_millis(INTERVAL_MS)).await;
    }
}

async fn collect(node: &Node) -> Result<(), CallError> {
    let layout = node.ledger.layout();
    let now = unix_ms().saturating_sub(KEEP_EXPIRED_MS);
    let Some(newest) = layout.newest_expired_bucket(now) else {
        return Ok(());
    };
    let key = ObjectKey(CURSOR_KEY.into());
    let Some(record) = node.platform.read(&key).await? else {
        // No process has collected before, so there are no older pages.
        let start = Cursor {
            next_bucket: newest + 1,
        };
        return write_cursor(node, &key, WriteCondition::Absent, start).await;
    };
    let cursor: Cursor =
        serde_json::from_str(&record.value).map_err(|e| node.platform.malformed(e))?;
    let end = (newest + 1).min(cursor.next_bucket.saturating_add(MAX_BUCKETS));
    if end <= cursor.next_bucket {
        return Ok(());
    }
    for bucket in cursor.next_bucket..end {
        delete_pages(node, layout.bucket_pages(bucket)).await?;
    }
    let next = Cursor { next_bucket: end };
    write_cursor(node, &key, WriteCondition::Version(record.version), next).await
}

async fn delete_pages(
    node: &Node,
    pages: impl Iterator<Item = ObjectKey>,
) -> Result<(), CallError> {
    for page in pages {
        node.platform
            .write(&page, WriteCondition::Any, None)
            .await?;
        tokio::time::sleep(Duration::from_millis(DELETE_PAUSE_MS)).await;
    }
    Ok(())
}

/// Writes the cursor; a conflict is ignored, since another entry then wrote it first.
async fn write_cursor(
    node: &Node,
    key: &ObjectKey,
    condition: WriteCondition,
    cursor: Cursor,
) -> Result<(), CallError> {
    let text = serde_json::to_string(&cursor).expect("a cursor serializes to JSON");
    node.platform.write(key, condition, Some(text)).await?;
    Ok(())
}
