//! Sets records aside whose services the configuration does not name.
//!
//! Another writer may have entries in the store, with the address of any endpoint. One whose
//! service is not named is no endpoint to use and takes no endpoint's address. Its service may be
//! named later, and endpoints may register before that, so the record is kept.

use std::collections::BTreeSet;
use std::time::Instant;

use pistachioyard_wire::{EndpointId, ServiceName};

use super::EndpointRegistry;
use super::record::EndpointRecord;

impl EndpointRegistry {
    /// Creates a registry that sets all records aside until services are named.
    pub fn without_services() -> Self {
        Self {
            named: Some(BTreeSet::new()),
            ..Self::default()
        }
    }

    /// Sets the services that the configuration names, and applies the records of them that were
    /// set aside; returns the number of these. Endpoints of services that are no longer named are
    /// kept, since requests may still run there.
    pub fn name_services(&mut self, services: BTreeSet<ServiceName>, now: Instant) -> usize {
        let joining = self
            .set_aside
            .extract_if(.., |_, record| services.contains(&record.service));
        let joining: Vec<EndpointRecord> = joining.map(|(_, record)| record).collect();
        self.named = Some(services);
        let count = joining.len();
        for record in joining {
            self.apply(record, now);
        }
        count
    }

    /// Returns all records of the store, also those that are set aside.
    pub fn stored_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records().chain(self.set_aside.values())
    }

    /// Returns the ids of all records of the store, also of those that are set aside.
    pub fn stored_ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.ids().chain(self.set_aside.keys())
    }

    /// Returns whether the configuration names a service; all are named if nothing says which.
    pub(super) fn is_named(&self, service: &ServiceName) -> bool {
        let named = self.named.as_ref();
        named.is_none_or(|named| named.contains(service))
    }
}
