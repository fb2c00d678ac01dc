//! Decides when to take, keep and renew controller leases, each stored in one object of the
//! platform.
//!
//! A lease keeps controllers from working against each other. Safety does not depend on it,
//! because orders carry its fencing token. See `docs/design/leases.md`.

use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, EntryId, Fence};
use serde::{Deserialize, Serialize};

use crate::store_position::{StoreEra, is_later_era};

/// The maximum number of terms from now until a lease can plausibly end; one that ends later
/// was written with a wrong clock.
const MAX_TERMS_AHEAD: u64 = 2;

/// Holds the content of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The entry that holds the lease.
    pub holder: EntryId,
    /// The run of the holder's process; another run of it does not hold the lease.
    pub boot: BootId,
    /// The fencing token, which increases whenever the holder changes or the lease lapses.
    pub fence: Fence,
    /// When the lease ends, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// Says what to do about a lease, given its object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseAction {
    /// This process holds it, and it needs no renewal yet.
    Keep,
    /// Write this record to take it, on condition that the object is unchanged since the read.
    Take(LeaseRecord),
    /// Write this record to renew it, on condition that the object is unchanged since the read.
    Renew(LeaseRecord),
    /// Another process holds it; read it again after this time.
    Wait {
        /// The time to wait, in milliseconds.
        ms: u64,
    },
}

/// Decides what the run `boot` of the entry `me` does about a lease.
///
/// The holder renews after a third of the term, so that a renewal whose answer is lost can be
/// resolved before the term ends. A holder whose lease has ended takes it with a new fencing
/// token, since another process may have held it in between.
pub fn decide_lease(
    current: Option<&LeaseRecord>,
    me: &EntryId,
    boot: BootId,
    now_unix_ms: u64,
    term: Duration,
) -> LeaseAction {
    let term_ms = u64::try_from(term.as_millis()).unwrap_or(u64::MAX);
    let record = |fence| LeaseRecord {
        holder: me.clone(),
        boot,
        fence,
        until_unix_ms: now_unix_ms.saturating_add(term_ms),
    };
    let Some(current) = current else {
        return LeaseAction::Take(record(Fence::default().next()));
    };
    let left_ms = current.until_unix_ms.saturating_sub(now_unix_ms);
    if left_ms == 0 || left_ms > term_ms.saturating_mul(MAX_TERMS_AHEAD) {
        return LeaseAction::Take(record(current.fence.next()));
    }
    if current.holder != *me || current.boot != boot {
        return LeaseAction::Wait { ms: left_ms };
    }
    if left_ms > term_ms - term_ms / 3 {
        LeaseAction::Keep
    } else {
        LeaseAction::Renew(record(current.fence))
    }
}

/// Holds the holder's own view of its lease, by its monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    granted_at: Instant,
    term: Duration,
}

impl HeldLease {
    /// Creates the view of a lease that was just written.
    ///
    /// `granted_at` is the time before the write was sent, so that the holder never assumes
    /// more time than the record gives it.
    pub fn new(granted_at: Instant, term: Duration) -> Self {
        Self { granted_at, term }
    }

    /// Returns whether the lease is valid for at least `margin` after `now`.
    ///
    /// Call this right before each order, so that a process that was paused notices.
    pub fn is_valid(&self, now: Instant, margin: Duration) -> bool {
        now.saturating_duration_since(self.granted_at) + margin < self.term
    }
}

/// Holds a lease in a store that may come back from an older copy, by the holder's view.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraLease {
    /// The hold within the era.
    pub hold: HeldLease,
    /// The fencing token.
    pub fence: Fence,
    /// The era in which the lease was written.
    pub era: Option<StoreEra>,
}

impl EraLease {
    /// Returns whether the lease is valid for at least `margin` after `now`.
    ///
    /// A later era of the store has lost it, and a higher token shows that another process has
    /// taken it since.
    pub fn is_valid(
        &self,
        now: Instant,
        margin: Duration,
        era: Option<StoreEra>,
        newest_fence: Fence,
    ) -> bool {
        self.hold.is_valid(now, margin)
            && !is_later_era(era, self.era)
            && self.fence >= newest_fence
    }
}

/// Raises the fencing token of a record to be written above the newest known one.
///
/// A store that came back from an older copy holds an older token or none, and endpoints refuse
/// orders with a lower token than they have seen.
pub fn raise_fence(action: LeaseAction, newest_fence: Fence) -> LeaseAction {
    match action {
        LeaseAction::Take(record) if record.fence <= newest_fence => {
            LeaseAction::Take(LeaseRecord {
                fence: newest_fence.next(),
                ..record
            })
        }
        LeaseAction::Renew(record) if record.fence < newest_fence => {
            LeaseAction::Take(LeaseRecord {
                fence: newest_fence.next(),
                ..record
            })
        }
        action => action,
    }
}
