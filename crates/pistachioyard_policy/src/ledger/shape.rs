//! Where a key belongs and how long it is kept.

use pistachioyard_wire::{ObjectKey, OperationKey};
use xxhash_rust::xxh3::xxh3_64;

/// How far a key's time may lie ahead of the entry's clock, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 5 * 60_000;
/// The first part of every page's key.
const PAGE_PREFIX: &str = "ledger";

/// Why a key's age does not allow a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum KeyAgeFault {
    /// The key is older than the ledger remembers.
    #[error(
        "the key {key} is {age_ms} ms old; keys are kept for {retention_ms} ms, so make a new key \
         only when the operation is known not to have run"
    )]
    TooOld {
        /// The key.
        key: OperationKey,
        /// Its age.
        age_ms: u64,
        /// The retention period.
        retention_ms: u64,
    },
    /// The key's time is ahead of the clock.
    #[error(
        "the key {key} is dated {ahead_ms} ms ahead; at most {MAX_CLOCK_SKEW_MS} ms are allowed, \
         so set the caller's clock"
    )]
    InFuture {
        /// The key.
        key: OperationKey,
        /// How far its time is ahead.
        ahead_ms: u64,
    },
}

/// How keys are laid out over pages; the same at all entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerShape {
    /// The time that one page spans, in milliseconds.
    pub bucket_ms: u64,
    /// The number of pages that share a time span.
    pub slots: u32,
    /// How long a key is kept, in milliseconds.
    pub retention_ms: u64,
    /// The most claims of one page; its size in bytes is bounded as well.
    pub max_page_claims: usize,
}

impl Default for LedgerShape {
    fn default() -> Self {
        Self {
            bucket_ms: 60_000,
            slots: 16,
            retention_ms: 24 * 3_600_000,
            max_page_claims: 4_000,
        }
    }
}

impl LedgerShape {
    /// Returns the one page that a key belongs to.
    pub fn page_key(&self, key: OperationKey) -> ObjectKey {
        let bucket = key.created_unix_ms() / self.bucket_ms.max(1);
        let slot = xxh3_64(key.as_uuid().as_bytes()) % u64::from(self.slots.max(1));
        page_key(bucket, slot)
    }

    /// Returns all pages of a time span.
    pub fn bucket_pages(&self, bucket: u64) -> impl Iterator<Item = ObjectKey> + use<> {
        let slots = u64::from(self.slots.max(1));
        (0..slots).map(move |slot| page_key(bucket, slot))
    }

    /// Returns the newest time span whose pages may be deleted; so may all before it.
    pub fn newest_expired_bucket(&self, now_unix_ms: u64) -> Option<u64> {
        let kept_ms = self.retention_ms + MAX_CLOCK_SKEW_MS;
        let last_end = now_unix_ms.checked_sub(kept_ms)?.checked_sub(1)?;
        (last_end / self.bucket_ms.max(1)).checked_sub(1)
    }

    /// Checks that the ledger still remembers a key of this age.
    ///
    /// Check once before the claim and again after it is recorded, right before
    /// sending: a process that was paused in between may have claimed on a page
    /// that was deleted as expired and made anew.
    ///
    /// # Errors
    ///
    /// Fails on a key older than the retention period or too far in the future.
    pub fn check_age(&self, key: OperationKey, now_unix_ms: u64) -> Result<(), KeyAgeFault> {
        let created = key.created_unix_ms();
        let age_ms = now_unix_ms.saturating_sub(created);
        if age_ms > self.retention_ms {
            return Err(KeyAgeFault::TooOld {
                key,
                age_ms,
                retention_ms: self.retention_ms,
            });
        }
        let ahead_ms = created.saturating_sub(now_unix_ms);
        if ahead_ms > MAX_CLOCK_SKEW_MS {
            return Err(KeyAgeFault::InFuture { key, ahead_ms });
        }
        Ok(())
    }

    /// Tells whether a page may be deleted.
    ///
    /// That is so once no entry takes any of its keys, even an entry whose clock
    /// is behind. What is not the key of a page never expires.
    pub fn expired(&self, page_key: &ObjectKey, now_unix_ms: u64) -> bool {
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
