//! The keys of the operations that this process has sent.

use std::collections::{BTreeSet, VecDeque};

use pistachioyard_wire::OperationKey;

/// The maximum number of keys that are remembered.
const MAX_SENT_KEYS: usize = 16_384;

/// Remembers the most recently sent keys, so that a repeated key is not reported as not run while
/// the ledger cannot be read.
#[derive(Default)]
pub(crate) struct SentKeys {
    keys: BTreeSet<OperationKey>,
    order: VecDeque<OperationKey>,
}

impl SentKeys {
    /// Records that a call with the key is about to be sent.
    pub(crate) fn insert(&mut self, key: OperationKey) {
        if !self.keys.insert(key) {
            return;
        }
        self.order.push_back(key);
        if self.order.len() > MAX_SENT_KEYS
            && let Some(oldest) = self.order.pop_front()
        {
            self.keys.remove(&oldest);
        }
    }

    /// Returns whether a call with the key was sent.
    pub(crate) fn contains(&self, key: OperationKey) -> bool {
        self.keys.contains(&key)
    }
}
