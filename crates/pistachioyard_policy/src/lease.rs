//! Controller leases, each kept in one object of the platform.
//!
//! A lease keeps controllers from working against each other. Safety does not
//! rest on it: orders carry its fencing number. See `docs/design/leases.md`.

use std::time::{Duration, Instant};

use pistachioyard_wire::{BootId, EntryId, Fence};
use serde::{Deserialize, Serialize};

/// A lease that ends further ahead than this many terms is from a wrong clock.
const MAX_TERMS_AHEAD: u64 = 2;

/// The content of a lease object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The entry that holds the lease.
    pub holder: EntryId,
    /// The run of its process; another run does not hold the lease.
    pub boot: BootId,
    /// Grows with each change of holder and each gap in holding.
    pub fence: Fence,
    /// When the lease ends, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// What to do about a lease, given its object as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseMove {
    /// It is held and needs no renewal yet.
    Keep,
    /// Write this to take it, on the condition that the object is as read.
    Take(LeaseRecord),
    /// Write this to renew it, on the condition that the object is as read.
    Renew(LeaseRecord),
    /// Another process holds it; look again after this time.
    Wait {
        /// The time to wait, in milliseconds.
        ms: u64,
    },
}

/// Decides what the process `me`, `boot` does about a lease.
///
/// The holder renews once a third of the term is over, so that a renewal whose
/// answer is lost can be settled before the term ends. A holder that let
/// the lease end takes it with a new fencing number, since another may have held
/// it in between.
pub fn decide(
    current: Option<&LeaseRecord>,
    me: &EntryId,
    boot: BootId,
    now_unix_ms: u64,
    term: Duration,
) -> LeaseMove {
    let term_ms = u64::try_from(term.as_millis()).unwrap_or(u64::MAX);
    let record = |fence| LeaseRecord {
        holder: me.clone(),
        boot,
        fence,
        until_unix_ms: now_unix_ms.saturating_add(term_ms),
    };
    let Some(current) = current else {
        return LeaseMove::Take(record(Fence::default().next()));
    };
    let left_ms = current.until_unix_ms.saturating_sub(now_unix_ms);
    if left_ms == 0 || left_ms > term_ms.saturating_mul(MAX_TERMS_AHEAD) {
        return LeaseMove::Take(record(current.fence.next()));
    }
    if current.holder != *me || current.boot != boot {
        return LeaseMove::Wait { ms: left_ms };
    }
    if left_ms > term_ms - term_ms / 3 {
        LeaseMove::Keep
    } else {
        LeaseMove::Renew(record(current.fence))
    }
}

/// The holder's own view of its lease, by its monotonic clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseHold {
    granted_at: Instant,
    term: Duration,
}

impl LeaseHold {
    /// Notes a lease that was written.
    ///
    /// `granted_at` is the time before the write was sent, so that the holder
    /// never counts on more time than the record gives it.
    pub fn new(granted_at: Instant, term: Duration) -> Self {
        Self { granted_at, term }
    }

    /// Tells whether the lease lasts for `margin` after `now`.
    ///
    /// Ask right before each order: a process that was paused finds out here.
    pub fn valid(&self, now: Instant, margin: Duration) -> bool {
        now.saturating_duration_since(self.granted_at) + margin < self.term
    }
}
