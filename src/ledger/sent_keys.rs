//! The keys of operations that this process has sent.

use std::collections::{BTreeSet, VecDeque};

use pistachioyard_wire::OperationKey;

/// The most keys that are remembered.
const MAX_SENT_KEYS: usize = 16_384;

/// Remembers the newest keys that were sent, so that a repeated key is not said
/// to be not run while the ledger cannot be read.
#[derive(Default)]
pub(crate) struct SentKeys {
    keys: BTreeSet<OperationKey>,
    order: VecDeque<OperationKey>,
}

impl SentKeys {
    /// Notes that a call with the key is about to be sent.
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

    /// Tells whether a call with the key was sent.
    pub(crate) fn contains(&self, key: OperationKey) -> bool {
        self.keys.contains(&key)
    }
}
