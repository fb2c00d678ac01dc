//! Acquires and renews the lease of the placement controller.
//!
//! Every entry competes for it. The holder measures the term by its own monotonic clock only,
//! from before it sent the write. The others check the lease about once a term
//! (`docs/design/leases.md`).

use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use pistachioyard_policy::{HeldLease, LeaseAction, LeaseRecord, decide_lease};
use pistachioyard_wire::{Fence, ObjectKey, ObjectRecord, WriteAnswer, WriteCondition};
use rand::Rng;

use crate::error::CallError;
use crate::prelude::*;

/// The key of the lease object.
const LEASE_KEY: &str = "lease/placement";
/// How long a lease lasts without renewal, in milliseconds.
const TERM_MS: u64 = 3_000;
/// The unused last part of the term, in milliseconds. An order that was checked against the
/// lease reaches its endpoint within this time.
const MARGIN_MS: u64 = 500;
/// How often the holder checks whether a renewal is due, in milliseconds.
const RENEWAL_CHECK_MS: u64 = 200;
/// The pause after a failed call, in milliseconds.
const BACKOFF_MS: u64 = 400;
/// The maximum jitter of an entry's wait, in milliseconds, so that entries do not all check at
/// once.
const MAX_JITTER_MS: u64 = 300;

/// Describes the lease that this entry holds: its fencing token and how long it is valid.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    hold: HeldLease,
}

/// Tells whether this entry holds the lease; shared with the placement controller.
#[derive(Default)]
pub(crate) struct Lease {
    held: Mutex<Option<Held>>,
}

impl Lease {
    /// Returns the fencing token if the lease is valid for at least the margin from `now`.
    pub(crate) fn fence(&self, now: Instant) -> Option<Fence> {
        let margin = Duration::from_millis(MARGIN_MS);
        let held = (*self.held.lock())?;
        held.hold.is_valid(now, margin).then_some(held.fence)
    }

    fn grant(&self, fence: Fence, sent_at: Instant) {
        let hold = HeldLease::new(sent_at, term());
        *self.held.lock() = Some(Held { fence, hold });
    }

    fn clear(&self) {
        *self.held.lock() = None;
    }
}

/// Holds the lease object as last read or written.
struct LeaseSnapshot {
    record: Option<LeaseRecord>,
    condition: WriteCondition,
}

impl From<Option<ObjectRecord>> for LeaseSnapshot {
    fn from(object: Option<ObjectRecord>) -> Self {
        Self {
            condition: object.as_ref().map_or(WriteCondition::Absent, |object| {
                WriteCondition::Version(object.version)
            }),
            record: object.and_then(|object| serde_json::from_str(&object.value).ok()),
        }
    }
}

/// Competes for the lease, and renews it while it is held.
pub(super) async fn run(node: Arc<Node>, lease: Arc<Lease>) {
    let boot = node.membership.lock().own_record().boot;
    let mut contender = Contender {
        node,
        lease,
        boot,
        snapshot: None,
    };
    loop {
        let pause = match contender.step().await {
            Ok(pause) => pause,
            Err(e) => {
                spdlog::debug!("lease: cannot read or write the lease object: {e}");
                contender.snapshot = None;
                Duration::from_millis(BACKOFF_MS)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Acquires, renews and releases the lease for one entry.
struct Contender {
    node: Arc<Node>,
    lease: Arc<Lease>,
    boot: BootId,
    /// The lease object as last seen; `None` if it is to be read again, as after an error or while
    /// another entry holds the lease.
    snapshot: Option<LeaseSnapshot>,
}

impl Contender {
    /// Acquires, renews or releases the lease if that is due; returns the pause before the next
    /// step.
    async fn step(&mut self) -> Result<Duration, CallError> {
        if self.node.lifecycle.is_draining() {
            return self.release().await;
        }
        let snapshot = match self.snapshot.take() {
            Some(snapshot) => snapshot,
            None => LeaseSnapshot::from(self.node.platform.read(&key()).await?),
        };
        let own = self.node.settings.entry.clone();
        let action = decide_lease(
            snapshot.record.as_ref(),
            &own,
            self.boot,
            now_unix_ms(),
            term(),
        );
        match action {
            LeaseAction::Keep => {
                if self.lease.fence(Instant::now()).is_none() {
                    // This entry does not know when the record was written, so it writes the
                    // record again to know how long the lease is valid.
                    let mut record = snapshot
                        .record
                        .clone()
                        .expect("a lease that is kept has a record");
                    record.until_unix_ms = now_unix_ms() + TERM_MS;
                    return self.write(snapshot, record).await;
                }
                self.snapshot = Some(snapshot);
                Ok(Duration::from_millis(RENEWAL_CHECK_MS))
            }
            LeaseAction::Take(mut record) => {
                record.fence = record.fence.max(self.highest_seen_fence().next());
                self.write(snapshot, record).await
            }
            LeaseAction::Renew(record) => self.write(snapshot, record).await,
            LeaseAction::Wait { ms } => {
                self.lease.clear();
                let jitter = self.node.rng.lock().random_range(0..MAX_JITTER_MS);
                Ok(Duration::from_millis(ms + TERM_MS / 3 + jitter))
            }
        }
    }

    /// Returns the highest fencing token that an endpoint reports.
    ///
    /// If the lease object was lost, this keeps the new holder's token from being too low.
    fn highest_seen_fence(&self) -> Fence {
        let fleet = self.node.fleet.lock();
        let reports = fleet.endpoints().filter_map(|view| view.report());
        reports.map(|report| report.fence).max().unwrap_or_default()
    }

    /// Writes the record, unless the object has changed since the snapshot.
    async fn write(
        &mut self,
        snapshot: LeaseSnapshot,
        record: LeaseRecord,
    ) -> Result<Duration, CallError> {
        let sent_at = Instant::now();
        let text = serde_json::to_string(&record).expect("a lease record serializes to JSON");
        let written = self
            .node
            .platform
            .write(&key(), snapshot.condition, Some(text))
            .await;
        let after = match written {
            Ok(WriteAnswer::Written(version)) => LeaseSnapshot {
                record: Some(record.clone()),
                condition: WriteCondition::Version(version),
            },
            Ok(WriteAnswer::Conflict(object)) => LeaseSnapshot::from(object),
            // After an error, only the object shows whether the write took effect.
            Err(e) => {
                spdlog::debug!("lease: write failed, reading the lease object again: {e}");
                LeaseSnapshot::from(self.node.platform.read(&key()).await?)
            }
        };
        if after.record.as_ref() == Some(&record) {
            if self.lease.fence(sent_at) != Some(record.fence) {
                spdlog::info!("lease: held with fencing token {}", record.fence);
            }
            self.lease.grant(record.fence, sent_at);
        }
        self.snapshot = Some(after);
        Ok(Duration::from_millis(RENEWAL_CHECK_MS))
    }

    /// Releases the lease early, so that another entry need not wait until it expires.
    async fn release(&mut self) -> Result<Duration, CallError> {
        self.lease.clear();
        let Some(snapshot) = self.snapshot.take() else {
            return Ok(term());
        };
        let is_own = snapshot
            .record
            .as_ref()
            .is_some_and(|r| r.boot == self.boot);
        if let Some(mut record) = snapshot.record.filter(|_| is_own) {
            record.until_unix_ms = 0;
            let text = serde_json::to_string(&record).expect("a lease record serializes to JSON");
            let released = self
                .node
                .platform
                .write(&key(), snapshot.condition, Some(text))
                .await;
            spdlog::info!("lease: released early: {}", released.is_ok());
        }
        Ok(term())
    }
}

fn key() -> ObjectKey {
    ObjectKey(LEASE_KEY.into())
}

fn term() -> Duration {
    Duration::from_millis(TERM_MS)
}

fn now_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
