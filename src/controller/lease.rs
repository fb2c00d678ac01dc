//! The lease of the placement controller.
//!
//! Every entry competes for it. The holder counts on it by its own monotonic
//! clock only, from before the write was sent; others look at it about once a
//! term (`docs/design/leases.md`).

use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use pistachioyard_policy::{HeldLease, LeaseAction, LeaseRecord, decide_lease};
use pistachioyard_wire::{Fence, ObjectKey, ObjectRecord, WriteAnswer, WriteCondition};
use rand::Rng;

use crate::error::CallError;
use crate::prelude::*;

/// The object that holds the lease.
const LEASE_KEY: &str = "lease/placement";
/// How long a lease lasts without renewal, in milliseconds.
const TERM_MS: u64 = 3_000;
/// The part of the term that is left unused, in milliseconds; an order that was
/// checked against the lease reaches its endpoint within it.
const MARGIN_MS: u64 = 500;
/// How often the holder looks whether a renewal is due, in milliseconds.
const RENEWAL_CHECK_MS: u64 = 200;
/// The pause after a failed call, in milliseconds.
const BACKOFF_MS: u64 = 400;
/// The most that an entry waits on top, so that not all look at once, in
/// milliseconds.
const MAX_JITTER_MS: u64 = 300;

/// A lease that this entry holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    fence: Fence,
    hold: HeldLease,
}

/// Whether this entry holds the lease; shared with the placement controller.
#[derive(Default)]
pub(crate) struct Lease {
    held: Mutex<Option<Held>>,
}

impl Lease {
    /// Returns the fencing number if the lease is held for a while from now.
    pub(crate) fn fence(&self, now: Instant) -> Option<Fence> {
        let margin = Duration::from_millis(MARGIN_MS);
        let held = (*self.held.lock())?;
        held.hold.is_valid(now, margin).then_some(held.fence)
    }

    fn grant(&self, fence: Fence, sent_at: Instant) {
        let hold = HeldLease::new(sent_at, term());
        *self.held.lock() = Some(Held { fence, hold });
    }

    fn give_up(&self) {
        *self.held.lock() = None;
    }
}

/// The lease object as last read or written.
struct Known {
    record: Option<LeaseRecord>,
    condition: WriteCondition,
}

impl From<Option<ObjectRecord>> for Known {
    fn from(object: Option<ObjectRecord>) -> Self {
        Self {
            condition: object.as_ref().map_or(WriteCondition::Absent, |object| {
                WriteCondition::Version(object.version)
            }),
            record: object.and_then(|object| serde_json::from_str(&object.value).ok()),
        }
    }
}

/// Competes for the lease for ever.
pub(super) async fn run(node: Arc<Node>, lease: Arc<Lease>) {
    let boot = node.membership.lock().own_record().boot;
    let mut keeper = Keeper {
        node,
        lease,
        boot,
        known: None,
    };
    loop {
        let pause = match keeper.step().await {
            Ok(pause) => pause,
            Err(e) => {
                spdlog::debug!("lease: {e}");
                keeper.known = None;
                Duration::from_millis(BACKOFF_MS)
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Keeps one entry's part in the lease.
struct Keeper {
    node: Arc<Node>,
    lease: Arc<Lease>,
    boot: BootId,
    /// What is known of the object; none after an error or another's write.
    known: Option<Known>,
}

impl Keeper {
    /// Does what is due and returns the time until the next look.
    async fn step(&mut self) -> Result<Duration, CallError> {
        if self.node.lifecycle.is_draining() {
            return self.release().await;
        }
        let known = match self.known.take() {
            Some(known) => known,
            None => Known::from(self.node.platform.read(&key()).await?),
        };
        let me = self.node.settings.entry.clone();
        let decided = decide_lease(known.record.as_ref(), &me, self.boot, now_unix_ms(), term());
        match decided {
            LeaseAction::Keep => {
                if self.lease.fence(Instant::now()).is_none() {
                    // It was written, but when is not known: only a new write
                    // tells how long it lasts.
                    let mut record = known.record.clone().expect("what is kept is recorded");
                    record.until_unix_ms = now_unix_ms() + TERM_MS;
                    return self.write(known, record).await;
                }
                self.known = Some(known);
                Ok(Duration::from_millis(RENEWAL_CHECK_MS))
            }
            LeaseAction::Take(mut record) => {
                record.fence = record.fence.max(self.highest_seen_fence().next());
                self.write(known, record).await
            }
            LeaseAction::Renew(record) => self.write(known, record).await,
            LeaseAction::Wait { ms } => {
                self.lease.give_up();
                let jitter = self.node.rng.lock().random_range(0..MAX_JITTER_MS);
                Ok(Duration::from_millis(ms + TERM_MS / 3 + jitter))
            }
        }
    }

    /// Returns the highest fencing number that an endpoint reports, so that a lease
    /// object that was lost does not leave the new holder with too low a number.
    fn highest_seen_fence(&self) -> Fence {
        let fleet = self.node.fleet.lock();
        let reports = fleet.endpoints().filter_map(|view| view.report());
        reports.map(|report| report.fence).max().unwrap_or_default()
    }

    /// Writes the record on the condition that the object is as known.
    async fn write(&mut self, known: Known, record: LeaseRecord) -> Result<Duration, CallError> {
        let sent_at = Instant::now();
        let text = serde_json::to_string(&record).expect("a lease can be written as JSON");
        let wrote = self
            .node
            .platform
            .write(&key(), known.condition, Some(text))
            .await;
        let after = match wrote {
            Ok(WriteAnswer::Written(version)) => Known {
                record: Some(record.clone()),
                condition: WriteCondition::Version(version),
            },
            Ok(WriteAnswer::Conflict(object)) => Known::from(object),
            // The answer is lost; the object tells whether the write took effect.
            Err(e) => {
                spdlog::debug!("lease: the answer to a write is lost: {e}");
                Known::from(self.node.platform.read(&key()).await?)
            }
        };
        if after.record.as_ref() == Some(&record) {
            if self.lease.fence(sent_at) != Some(record.fence) {
                spdlog::info!("lease: held with fencing number {}", record.fence);
            }
            self.lease.grant(record.fence, sent_at);
        }
        self.known = Some(after);
        Ok(Duration::from_millis(RENEWAL_CHECK_MS))
    }

    /// Ends the lease early, so that another entry need not wait for its end.
    async fn release(&mut self) -> Result<Duration, CallError> {
        self.lease.give_up();
        let Some(known) = self.known.take() else {
            return Ok(term());
        };
        let is_own = known.record.as_ref().is_some_and(|r| r.boot == self.boot);
        if let Some(mut record) = known.record.filter(|_| is_own) {
            record.until_unix_ms = 0;
            let text = serde_json::to_string(&record).expect("a lease can be written as JSON");
            let released = self
                .node
                .platform
                .write(&key(), known.condition, Some(text))
                .await;
            spdlog::info!("lease: given up: {}", released.is_ok());
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
