//! The lease that keeps placement controllers from working against each other.
//!
//! Safety does not rest on it: each order names the orders that the endpoint has
//! begun so far, so one that was decided on an old state is refused.

use pistachioyard_platform::{ObjectKind, StoreCall, StoreFault};
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
/// The pause between two tries to settle the lease.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The time before the end of the term in which no order is given any more.
const MARGIN: Duration = Duration::from_millis(600);

/// This process's hold on the lease.
#[derive(Default)]
pub(super) struct Lease {
    held: Option<(LeaseHold, LeaseRecord, u64)>,
    not_before: Option<Instant>,
    /// The newest fencing number that was read or written.
    newest: Fence,
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

    fn is_held(&self) -> bool {
        self.held
            .as_ref()
            .is_some_and(|(hold, ..)| hold.valid(Instant::now(), MARGIN))
    }

    /// Takes or renews the lease; returns its fencing number while it is held.
    async fn hold(&mut self, router: &Router) -> Option<Fence> {
        if let Some((hold, record, _)) = &self.held
            && hold.valid(Instant::now(), TERM / 2)
        {
            return Some(record.fence);
        }
        if self.not_before.is_some_and(|at| Instant::now() < at) {
            return None;
        }
        self.not_before = Some(Instant::now() + RETRY_PAUSE);
        let had = self.held.as_ref().map(|(_, record, _)| record.fence);
        let result = self.settle(router).await;
        if let Err(e) = &result {
            spdlog::warn!("lease: not settled", kv: { why = e.to_string().as_str() });
        }
        let now_held = self.held.as_ref().filter(|_| self.is_held());
        let fence = now_held.map(|(_, record, _)| record.fence);
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
            Err(StoreError::Fault(StoreFault::NotFound)) => None,
            Err(e) => return Err(e),
        };
        let record = current
            .as_ref()
            .and_then(|o| serde_json::from_value(o.spec.clone()).ok());
        self.newest = self.newest.max(
            record
                .as_ref()
                .map_or(Fence::default(), |r: &LeaseRecord| r.fence),
        );
        let me = &router.settings.entry;
        let next = match decide(record.as_ref(), me, router.boot, unix_ms(), TERM) {
            LeaseMove::Keep => return Ok(()),
            LeaseMove::Take(next) | LeaseMove::Renew(next) => next,
            LeaseMove::Wait { ms } => {
                self.held = None;
                self.not_before = Some(Instant::now() + Duration::from_millis(ms));
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
                self.held = Some((LeaseHold::new(asked_at, TERM), next, object.revision));
                Ok(())
            }
            Err(e) => {
                self.held = None;
                Err(e)
            }
        }
    }
}

/// Returns the time of day; it only orders holders, and a clock that is wrong makes
/// a lease last longer or shorter, which is no harm.
fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
