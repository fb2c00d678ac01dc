//! The lease that elects a single placement controller.
//!
//! Safety does not depend on the lease: each order states how many orders the endpoint has
//! begun so far, so an endpoint refuses an order that is based on stale state. Nor does it
//! depend on the wall clock, which may differ between hosts by seconds.
//!
//! A store that comes back from an older copy loses the lease. A hold ends with its era, and the
//! next one has a higher fencing token than any that an entry knows of, since endpoints refuse
//! lower ones.

use pistachioyard_platform::{ObjectKind, StoreAnswerError, StoreCall};
use pistachioyard_policy::{
    EraLease, FenceLead, HeldLease, LeaseAction, LeaseRecord, StorePosition, decide_lease,
    is_later_era, raise_fence,
};
use pistachioyard_wire::Fence;

use crate::prelude::*;
use crate::router::Router;
use crate::router::store_client::{InEra, StoreError};

/// The kind and the name of the lease object.
const LEASE_KIND: ObjectKind = ObjectKind("leases");
const LEASE_NAME: &str = "placement";
/// How long the lease lasts without renewal, after which a lost holder is replaced.
const TERM: Duration = Duration::from_secs(3);
/// The maximum time between checks of a lease that another entry holds.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How long after the start of this process gossip may take to reveal all live peers.
const PEER_DISCOVERY_PERIOD: Duration = Duration::from_secs(2);
/// The minimum time between two attempts to acquire or renew the lease.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// How long before the end of the term this process stops sending orders.
const ORDER_MARGIN: Duration = Duration::from_millis(600);

/// Tracks this process's hold on the lease.
#[derive(Default)]
pub(super) struct Lease {
    held: Option<EraLease>,
    next_attempt_at: Option<Instant>,
    /// The position of the lease object's last change, and when this process first saw it.
    last_read: Option<(StorePosition, Instant)>,
    /// How far the next token is ahead of one whose orders were refused.
    lead: FenceLead,
}

impl Lease {
    /// Returns the fencing token for orders, or `None` if this process may not send any.
    ///
    /// While the store is unreachable no lease can be renewed, but lost endpoints still have
    /// to be replaced, so the first of the live entries continues with the newest token. If two
    /// entries both consider themselves the first, endpoints refuse the later orders.
    pub(super) async fn fence(&mut self, router: &Router) -> Option<Fence> {
        let fence = self.maintain(router).await;
        let is_store_unreachable = !router.store.is_reachable();
        fence.or_else(|| is_store_unreachable.then(|| router.newest_fence()))
    }

    /// Returns whether this process holds the lease and may send orders under it.
    ///
    /// Uses the monotonic clock; the answer turns false [`ORDER_MARGIN`] before the term ends.
    pub(super) fn is_held(&self, router: &Router) -> bool {
        self.valid_fence(router, ORDER_MARGIN).is_some()
    }

    /// Records that an endpoint refused an order since it has seen a higher token than `fence`.
    ///
    /// It may be that of a lost lease, so the lease is acquired anew with a higher one.
    pub(super) fn raise_above(&mut self, router: &Router, fence: Fence) {
        // Without the store, this entry may not be the one that is to send orders.
        if self.valid_fence(router, Duration::ZERO) != Some(fence) {
            return;
        }
        let seen = self.lead.raise(fence);
        spdlog::warn!("lease: endpoints have seen a higher token, raising it", kv: {
            fence = fence.0, above = seen.0
        });
        router.note_fence(seen);
    }

    /// Records that no order was refused for its token.
    pub(super) fn note_accepted(&mut self) {
        self.lead.reset();
    }

    /// Returns the fencing token if the lease is valid for at least `margin` from now.
    fn valid_fence(&self, router: &Router, margin: Duration) -> Option<Fence> {
        let (era, newest_fence) = (router.store.era(), router.newest_fence());
        let now = Instant::now();
        let held = self.held?;
        held.is_valid(now, margin, era, newest_fence)
            .then_some(held.fence)
    }

    /// Acquires or renews the lease; returns its fencing token if it is held.
    async fn maintain(&mut self, router: &Router) -> Option<Fence> {
        if let Some(fence) = self.valid_fence(router, TERM / 2) {
            return Some(fence);
        }
        if self.next_attempt_at.is_some_and(|at| Instant::now() < at) {
            return self.valid_fence(router, ORDER_MARGIN);
        }
        self.next_attempt_at = Some(Instant::now() + RETRY_PAUSE);
        let had = self.held.map(|held| held.fence);
        let result = self.acquire_or_renew(router).await;
        if let Err(e) = &result {
            spdlog::warn!("lease: cannot acquire or renew", kv: { why = e.to_string().as_str() });
        }
        let fence = self.valid_fence(router, ORDER_MARGIN);
        match (had, fence) {
            (before, Some(now)) if before != Some(now) => {
                spdlog::info!("lease: acquired", kv: { fence = now.0 });
            }
            (Some(before), None) => spdlog::info!("lease: not held", kv: { fence = before.0 }),
            _ => {}
        }
        fence
    }

    async fn acquire_or_renew(&mut self, router: &Router) -> Result<(), StoreError> {
        let asked_at = Instant::now();
        let (current, read_era) = match router.store.read(LEASE_KIND, LEASE_NAME).await {
            Ok(InEra { value, era }) => (Some(value), era),
            Err(StoreError::Fault(StoreAnswerError::NotFound)) => (None, router.store.era()),
            Err(e) => return Err(e),
        };
        let record: Option<LeaseRecord> = current.as_ref().and_then(|object| object.decode().ok());
        if let Some(record) = &record {
            router.note_fence(record.fence);
        }
        let position = current.as_ref().map(|object| StorePosition {
            era: read_era,
            revision: object.revision,
        });
        let now_ms = self.evaluation_time(router, record.as_ref(), position, asked_at);
        let me = &router.settings.entry;
        let action = decide_lease(record.as_ref(), me, router.boot, now_ms, TERM);
        let next = match raise_fence(action, router.newest_fence()) {
            LeaseAction::Keep => return Ok(()),
            LeaseAction::Take(next) | LeaseAction::Renew(next) => next,
            LeaseAction::Wait { ms } => {
                self.held = None;
                self.lead.reset();
                let wait = Duration::from_millis(ms).min(MAX_WAIT);
                self.next_attempt_at = Some(Instant::now() + wait);
                return Ok(());
            }
        };
        let Ok(spec) = serde_json::to_value(&next) else {
            return Ok(());
        };
        let call = match &current {
            None => StoreCall::create(LEASE_KIND, LEASE_NAME, spec),
            Some(object) => StoreCall::replace(LEASE_KIND, LEASE_NAME, object.revision, spec),
        };
        match router.store.object(&call).await {
            Ok(InEra { era, .. }) if is_later_era(era, read_era) => {
                // The revision may have been given out again, to another entry's lease, which
                // this write has then replaced.
                self.held = None;
                self.next_attempt_at = Some(Instant::now() + TERM);
                spdlog::warn!("lease: the store came back from a copy, waiting for a term", kv: {
                    fence = next.fence.0
                });
                Ok(())
            }
            Ok(InEra { value, era }) => {
                router.note_fence(next.fence);
                let revision = value.revision;
                self.last_read = Some((StorePosition { era, revision }, asked_at));
                self.held = Some(EraLease {
                    hold: HeldLease::new(asked_at, TERM),
                    fence: next.fence,
                    era,
                });
                Ok(())
            }
            Err(e) => {
                self.held = None;
                Err(e)
            }
        }
    }

    /// Returns the time at which [`decide_lease`] evaluates a record.
    ///
    /// It is the record's expiry minus the time that the lease has left by the local clock.
    /// The hosts' clocks may differ by seconds. Another entry's lease therefore expires once
    /// it has not changed for a term by the local clock, or once its holder is no longer among
    /// the live entries.
    fn evaluation_time(
        &mut self,
        router: &Router,
        record: Option<&LeaseRecord>,
        position: Option<StorePosition>,
        now: Instant,
    ) -> u64 {
        let Some((record, position)) = record.zip(position) else {
            return unix_ms();
        };
        let since = match self.last_read {
            Some((seen, since)) if seen.is_unchanged(position) => since,
            _ => now,
        };
        self.last_read = Some((position, since));
        let is_own = record.boot == router.boot;
        let is_expired = if is_own {
            !self.is_held(router)
        } else {
            now.saturating_duration_since(since) >= TERM || is_holder_lost(router, record, now)
        };
        let left = match (is_expired, is_own) {
            (true, _) => Duration::ZERO,
            // A renewal is attempted only in the second half of the term.
            (false, true) => TERM / 2,
            (false, false) => TERM,
        };
        let left_ms = crate::router::log::ms(left);
        record.until_unix_ms.saturating_sub(left_ms)
    }
}

/// Returns whether a holder is not among the live entries; false until gossip has had time
/// to reveal them.
fn is_holder_lost(router: &Router, record: &LeaseRecord, now: Instant) -> bool {
    if now.saturating_duration_since(router.started_at) < PEER_DISCOVERY_PERIOD {
        return false;
    }
    let members = router.members.lock();
    let live = members.live(now);
    !live
        .iter()
        .any(|live| live.entry == record.holder && live.boot == record.boot)
}

/// Returns the wall-clock time, which the record holds for human readers only.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
