//! The lease that keeps placement controllers from working against each other.
//!
//! Safety does not rest on it: each order names the orders that the endpoint has
//! begun so far, so one that was decided on an old state is refused. Nor does the time
//! of day matter, which may differ between hosts by seconds.

use pistachioyard_platform::{ObjectKind, StoreAnswerError, StoreCall};
use pistachioyard_policy::{LeaseHold, LeaseMove, LeaseRecord, decide};
use pistachioyard_wire::Fence;

use crate::prelude::*;
use crate::router::Router;
use crate::router::store_client::StoreError;

/// The kind and the name of the lease object.
const LEASE_KIND: ObjectKind = ObjectKind("leases");
const LEASE_NAME: &str = "placement";
/// How long the lease lasts without renewal; a lost holder is replaced after it.
const TERM: Duration = Duration::from_secs(3);
/// The longest time until it is looked whether another's lease is still alive.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// The time from a process's start in which every live peer is heard of.
const PEERS_KNOWN_AFTER: Duration = Duration::from_secs(2);
/// The pause between two tries to settle the lease.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The time before the end of the term in which no order is given any more.
const MARGIN: Duration = Duration::from_millis(600);

/// This process's hold on the lease.
#[derive(Default)]
pub(super) struct Lease {
    held: Option<(LeaseHold, Fence)>,
    not_before: Option<Instant>,
    /// The newest fencing number that was read or written.
    newest: Fence,
    /// The revision of the lease's object as last read, and since when it is the same.
    seen: Option<(u64, Instant)>,
}

impl Lease {
    /// Returns the fencing number under which orders may be given now.
    ///
    /// While the store is out of reach no lease can be renewed, and losses have to be
    /// made up for all the same. The first of the live entries then goes on; should two
    /// believe that they are it, endpoints refuse the orders that come second.
    pub(super) async fn fence(&mut self, router: &Router) -> Option<Fence> {
        let fence = self.hold(router).await;
        let is_out_of_reach = !router.store.is_reached();
        fence.or_else(|| is_out_of_reach.then_some(self.newest))
    }

    /// Tells whether this process holds the lease, by its monotonic clock.
    pub(super) fn is_held(&self) -> bool {
        self.held
            .is_some_and(|(hold, _)| hold.valid(Instant::now(), MARGIN))
    }

    /// Takes or renews the lease; returns its fencing number while it is held.
    async fn hold(&mut self, router: &Router) -> Option<Fence> {
        if let Some((hold, fence)) = self.held
            && hold.valid(Instant::now(), TERM / 2)
        {
            return Some(fence);
        }
        if self.not_before.is_some_and(|at| Instant::now() < at) {
            return self.held.filter(|_| self.is_held()).map(|(_, fence)| fence);
        }
        self.not_before = Some(Instant::now() + RETRY_PAUSE);
        let had = self.held.map(|(_, fence)| fence);
        let result = self.settle(router).await;
        if let Err(e) = &result {
            spdlog::warn!("lease: not settled", kv: { why = e.to_string().as_str() });
        }
        let fence = self.held.filter(|_| self.is_held()).map(|(_, fence)| fence);
        match (had, fence) {
            (before, Some(now)) if before != Some(now) => {
                spdlog::info!("lease: held", kv: { fence = now.0 });
            }
            (Some(before), None) => spdlog::info!("lease: given up", kv: { fence = before.0 }),
            _ => {}
        }
        fence
    }

    async fn settle(&mut self, router: &Router) -> Result<(), StoreError> {
        let asked_at = Instant::now();
        let current = match router.store.read(LEASE_KIND, LEASE_NAME).await {
            Ok(object) => Some(object),
            Err(StoreError::Fault(StoreAnswerError::NotFound)) => None,
            Err(e) => return Err(e),
        };
        let record: Option<LeaseRecord> = current
            .as_ref()
            .and_then(|object| serde_json::from_value(object.spec.clone()).ok());
        if let Some(record) = &record {
            self.newest = self.newest.max(record.fence);
        }
        let revision = current.as_ref().map(|object| object.revision);
        let now_ms = self.time_by(router, record.as_ref(), revision, asked_at);
        let me = &router.settings.entry;
        let next = match decide(record.as_ref(), me, router.boot, now_ms, TERM) {
            LeaseMove::Keep => return Ok(()),
            LeaseMove::Take(next) | LeaseMove::Renew(next) => next,
            LeaseMove::Wait { ms } => {
                self.held = None;
                let wait = Duration::from_millis(ms).min(MAX_WAIT);
                self.not_before = Some(Instant::now() + wait);
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
            Ok(object) => {
                self.newest = next.fence;
                self.seen = Some((object.revision, asked_at));
                self.held = Some((LeaseHold::new(asked_at, TERM), next.fence));
                Ok(())
            }
            Err(e) => {
                self.held = None;
                Err(e)
            }
        }
    }

    /// Returns the time to judge a record by, on the clock of the record's own end.
    ///
    /// Clocks of the hosts may be seconds apart, so another's lease counts as over once
    /// it has not changed for a term here, or its holder is gone by all that peers say.
    fn time_by(
        &mut self,
        router: &Router,
        record: Option<&LeaseRecord>,
        revision: Option<u64>,
        now: Instant,
    ) -> u64 {
        let Some((record, revision)) = record.zip(revision) else {
            return unix_ms();
        };
        let since = match self.seen {
            Some((seen, since)) if seen == revision => since,
            _ => now,
        };
        self.seen = Some((revision, since));
        let is_own = record.boot == router.boot;
        let is_over = if is_own {
            !self.is_held()
        } else {
            now.saturating_duration_since(since) >= TERM || is_gone(router, record, now)
        };
        let left = match (is_over, is_own) {
            (true, _) => Duration::ZERO,
            // Half of the term has gone by, or the hold would have done.
            (false, true) => TERM / 2,
            (false, false) => TERM,
        };
        let left_ms = crate::router::log::ms(left);
        record.until_unix_ms.saturating_sub(left_ms)
    }
}

/// Tells whether a holder is not among the live entries, once they can be known.
fn is_gone(router: &Router, record: &LeaseRecord, now: Instant) -> bool {
    if now.saturating_duration_since(router.started_at) < PEERS_KNOWN_AFTER {
        return false;
    }
    let members = router.members.lock();
    let live = members.live(now);
    !live
        .iter()
        .any(|live| live.entry == record.holder && live.boot == record.boot)
}

/// Returns the time of day; it stands in the record for people to read.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
