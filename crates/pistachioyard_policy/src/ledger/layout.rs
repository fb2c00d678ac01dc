//! How keys are assigned to pages and how long they are kept.

use pistachioyard_wire::{ObjectKey, OperationKey};
use xxhash_rust::xxh3::xxh3_64;

/// The furthest a key's timestamp may be ahead of the entry's clock, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60_000;
/// The first path segment of every page's object key.
const PAGE_PREFIX: &str = "ledger";

/// Reports why a key's age rules out a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyAgeError {
    /// The key is older than the retention period.
    #[error(
        "the key {key} is {age_ms} ms old; keys are kept for {retention_ms} ms, so make a new key \
         only when the operation is known not to have run"
    )]
    TooOld {
        /// The key.
        key: OperationKey,
        /// The age of the key, in milliseconds.
        age_ms: u64,
        /// The retention period, in milliseconds.
        retention_ms: u64,
    },
    /// The key's timestamp is too far ahead of the entry's clock.
    #[error(
        "the key {key} is dated {ahead_ms} ms in the future; at most {MAX_CLOCK_SKEW_MS} ms are \
         allowed, so correct the caller's clock"
    )]
    InFuture {
        /// The key.
        key: OperationKey,
        /// How far the timestamp is ahead, in milliseconds.
        ahead_ms: u64,
    },
}

/// Defines how keys are spread over pages; all entries must use the same values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLayout {
    /// The time span of one page, in milliseconds.
    pub bucket_ms: u64,
    /// The number of pages per time span.
    pub slots: u32,
    /// How long a key is kept, in milliseconds.
    pub retention_ms: u64,
    /// The maximum number of claims on one page; its size in bytes is limited as well.
    pub max_page_claims: usize,
}

impl Default for LedgerLayout {
    fn default() -> Self {
        Self {
            bucket_ms: 60_000,
            slots: 16,
            retention_ms: 24 * 3_600_000,
            max_page_claims: 4_000,
        }
    }
}

impl LedgerLayout {
    /// Returns the object key of the page that a key belongs to.
    pub fn page_key(&self, key: OperationKey) -> ObjectKey {
        let bucket = key.created_unix_ms() / self.bucket_ms.max(1);
        let slot = xxh3_64(key.as_uuid().as_bytes()) % u64::from(self.slots.max(1));
        page_key(bucket, slot)
    }

    /// Returns the object keys of all pages of a time span.
    pub fn bucket_pages(&self, bucket: u64) -> impl Iterator<Item = ObjectKey> + use<> {
        let slots = u64::from(self.slots.max(1));
        (0..slots).map(move |slot| page_key(bucket, slot))
    }

    /// Returns the newest time span whose pages may be deleted.
    ///
    /// The pages of all earlier spans may be deleted too.
    pub fn newest_expired_bucket(&self, now_unix_ms: u64) -> Option<u64> {
        let kept_ms = self.retention_ms + MAX_CLOCK_SKEW_MS;
        let last_end = now_unix_ms.checked_sub(kept_ms)?.checked_sub(1)?;
        (last_end / self.bucket_ms.max(1)).checked_sub(1)
    }

    /// Checks that the ledger still keeps a key of this age.
    ///
    /// Call this before the claim, and again once the claim is recorded, right
    /// before sending: while the process was paused in between, the page may have
    /// been deleted as expired and created again, and the claim made on the new page.
    ///
    /// # Errors
    ///
    /// Fails if the key is older than the retention period or too far in the future.
    pub fn check_age(&self, key: OperationKey, now_unix_ms: u64) -> Result<(), KeyAgeError> {
        let created = key.created_unix_ms();
        let age_ms = now_unix_ms.saturating_sub(created);
        if age_ms > self.retention_ms {
            return Err(KeyAgeError::TooOld {
                key,
                age_ms,
                retention_ms: self.retention_ms,
            });
        }
        let ahead_ms = created.saturating_sub(now_unix_ms);
        if ahead_ms > MAX_CLOCK_SKEW_MS {
            return Err(KeyAgeError::InFuture { key, ahead_ms });
        }
        Ok(())
    }

    /// Returns whether a page may be deleted.
    ///
    /// A page expires once no entry accepts any of its keys, not even an entry whose
    /// clock is behind. An object key that does not name a page never expires.
    pub fn is_expired(&self, page_key: &ObjectKey, now_unix_ms: u64) -> bool {
        let Some(bucket) = bucket_of(page_key) else {
            return false;
        };
        let end = bucket.saturating_add(1).saturating_mul(self.bucket_ms);
        let kept_until = end
            .saturating_add(self.retention_ms)
            .saturating_add(MAX_CLOCK_SKEW_MS);
        now_unix_ms > kept_until
    }
}

fn page_key(bucket: u64, slot: u64) -> ObjectKey {
    ObjectKey(format!("{PAGE_PREFIX}/{bucket}/{slot}").into())
}

fn bucket_of(page_key: &ObjectKey) -> Option<u64> {
    let mut parts = page_key.0.split('/');
    if parts.next()? != PAGE_PREFIX {
        return None;
    }
    let bucket = parts.next()?.parse().ok()?;
    parts.next()?.parse::<u32>().ok()?;
    match parts.next() {
        None => Some(bucket),
        Some(_) => None,
    }
}
