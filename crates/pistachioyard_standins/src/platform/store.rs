//! The object store of the platform stand-in, independent of sockets and time.

use std::collections::BTreeMap;

use pistachioyard_wire::{
    ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer, WriteCondition,
};

/// Holds the objects and the version counter that they share.
#[derive(Debug, Default)]
pub(crate) struct Store {
    version: u64,
    objects: BTreeMap<ObjectKey, ObjectRecord>,
}

impl Store {
    pub(crate) fn get(&self, key: &ObjectKey) -> Option<ObjectRecord> {
        self.objects.get(key).cloned()
    }

    /// Writes an object if the condition holds; a deletion also takes a new version.
    pub(crate) fn write(&mut self, key: ObjectKey, write: ObjectWrite) -> WriteAnswer {
        let current = self.objects.get(&key);
        let holds = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current.is_some_and(|o| o.version == version),
            WriteCondition::Any => true,
        };
        if !holds {
            return WriteAnswer::Conflict(current.cloned());
        }
        self.version += 1;
        let version = self.version;
        match write.value {
            Some(value) => {
                let record = ObjectRecord {
                    key: key.clone(),
                    version,
                    value,
                };
                self.objects.insert(key, record);
            }
            None => {
                self.objects.remove(&key);
            }
        }
        WriteAnswer::Written(version)
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<ObjectRecord> {
        self.objects
            .values()
            .filter(|object| object.key.0.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the objects under a prefix with a version above `after`; deletions are omitted.
    pub(crate) fn changed(&self, prefix: &str, after: u64) -> WatchPage {
        let mut changed = self.list(prefix);
        changed.retain(|object| object.version > after);
        changed.sort_by_key(|object| object.version);
        WatchPage {
            version: self.version,
            changed,
        }
    }
}
