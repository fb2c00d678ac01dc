//! Compares the lists of two entries by a short digest.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndpointRegistry;
use super::record::EndpointRecord;
use super::tracked::TrackedEndpoint;

impl EndpointRegistry {
    /// Returns a digest that two entries share if they hold the same records of the store, and the
    /// same of them have been deleted there.
    ///
    /// It is kept until a record changes, since many datagrams are compared with it.
    pub fn digest(&mut self) -> u64 {
        *self.digest.get_or_insert_with(|| {
            // Addition makes the order of the records irrelevant.
            let digests = self.by_id.values().map(TrackedEndpoint::digest);
            let set_aside = self.set_aside.values();
            let digests = digests.chain(set_aside.map(|record| digest(record, false)));
            digests.fold(0, u64::wrapping_add)
        })
    }
}

impl TrackedEndpoint {
    fn digest(&self) -> u64 {
        digest(&self.record, self.grace_until.is_some())
    }
}

fn digest(record: &EndpointRecord, is_deleted: bool) -> u64 {
    let changed_at = record.changed_at;
    let era = changed_at.era.map_or(0, |era| era.0);
    let seed = [changed_at.revision, era, u64::from(is_deleted)]
        .iter()
        .fold(0, |seed, part| xxh3_64_with_seed(&part.to_le_bytes(), seed));
    xxh3_64_with_seed(record.endpoint.as_str().as_bytes(), seed)
}
