//! Remembers for a while where records were deleted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointId;

use crate::store_position::StorePosition;

/// How long the deletion of a record is remembered; longer than copies of it go around.
const DELETION_RETENTION: Duration = Duration::from_secs(60);

/// Holds where records were deleted, and when this was learned.
#[derive(Clone, Debug, Default)]
pub(super) struct Deletions {
    by_id: BTreeMap<EndpointId, (StorePosition, Instant)>,
    /// The same endpoints in the order of time, so that old ones are found at once.
    by_time: BTreeSet<(Instant, EndpointId)>,
}

impl Deletions {
    /// Returns where the record of an endpoint was deleted.
    pub(super) fn position(&self, endpoint: &EndpointId) -> Option<StorePosition> {
        self.by_id.get(endpoint).map(|(at, _)| *at)
    }

    /// Returns all positions at which records were deleted.
    pub(super) fn positions(&self) -> impl Iterator<Item = StorePosition> {
        self.by_id.values().map(|(at, _)| *at)
    }

    /// Records a deletion.
    pub(super) fn note(&mut self, endpoint: &EndpointId, at: StorePosition, now: Instant) {
        self.forget(endpoint);
        self.by_id.insert(endpoint.clone(), (at, now));
        self.by_time.insert((now, endpoint.clone()));
    }

    /// Forgets the deletion of a record that is back.
    pub(super) fn forget(&mut self, endpoint: &EndpointId) {
        if let Some((_, noted_at)) = self.by_id.remove(endpoint) {
            self.by_time.remove(&(noted_at, endpoint.clone()));
        }
    }

    /// Forgets old deletions.
    pub(super) fn expire(&mut self, now: Instant) {
        while let Some((noted_at, _)) = self.by_time.first() {
            if now.saturating_duration_since(*noted_at) < DELETION_RETENTION {
                return;
            }
            if let Some((_, endpoint)) = self.by_time.pop_first() {
                self.by_id.remove(&endpoint);
            }
        }
    }
}
