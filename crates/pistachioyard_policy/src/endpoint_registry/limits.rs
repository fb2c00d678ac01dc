//! Finds the endpoints whose limits leave room for a request.

use std::time::{Duration, Instant};

use pistachioyard_wire::ServiceName;

use super::EndpointRegistry;
use super::record::EndpointRecord;
use crate::request_limits::RequestLimits;

impl EndpointRegistry {
    /// Returns the limits that endpoints have named.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Returns the limits that endpoints have named, to change them.
    pub fn limits_mut(&mut self) -> &mut RequestLimits {
        &mut self.limits
    }

    /// Records for which limited endpoints this entry is responsible now.
    pub fn review_limits(
        &mut self,
        is_responsible: impl Fn(&super::EndpointRun) -> bool,
        now: Instant,
    ) {
        let by_id = &self.by_id;
        let is_known = |run: &super::EndpointRun| super::answers::is_current(by_id, run);
        self.limits.review(is_responsible, is_known, now);
    }

    /// Returns whether the limit of an endpoint leaves room for a request, as far as is known.
    pub fn has_room(&self, record: &EndpointRecord, now: Instant) -> bool {
        self.limits.no_room_until(&record.run(), now).is_none()
    }

    /// Returns the usable endpoints of a service whose limits leave room for a request.
    pub fn with_room(&self, service: &ServiceName, now: Instant) -> Vec<&EndpointRecord> {
        let mut usable = self.usable(service, now);
        usable.retain(|record| self.has_room(record, now));
        usable
    }

    /// Returns the time until the first endpoint of a service has room again, and the sum of the
    /// limits of its endpoints, in requests a second; none if all that are usable have room.
    pub fn next_room(&self, service: &ServiceName, now: Instant) -> Option<(Duration, f64)> {
        let usable = self.usable(service, now);
        let until = usable
            .iter()
            .filter_map(|record| self.limits.no_room_until(&record.run(), now));
        let first = until.min()?.saturating_duration_since(now);
        let limits = usable
            .iter()
            .filter(|record| !self.has_room(record, now))
            .filter_map(|record| self.limits.limit_of(&record.run()));
        let per_second = limits.map(|(rate, _)| rate.per_second()).sum();
        Some((first, per_second))
    }
}
