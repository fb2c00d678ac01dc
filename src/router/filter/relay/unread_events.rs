//! The events that a stream has handed over and its caller has not read.

use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::memory::{HeldMemory, MemoryKind};
use crate::prelude::*;

/// Counts the events of one stream that are not yet written to its caller.
#[derive(Debug, Default)]
pub(super) struct UnreadEvents {
    bytes: AtomicUsize,
    /// Wakes the stream when events were written.
    written: Notify,
}

impl UnreadEvents {
    /// Returns the events as bytes that count as unread, and hold their memory, until they are
    /// dropped.
    pub(super) fn hand_over(self: &Arc<Self>, events: Vec<u8>, mut held: HeldMemory) -> Bytes {
        // It holds more already, for the events while they were not complete.
        held.shrink(events.len());
        self.bytes.fetch_add(events.len(), Ordering::Relaxed);
        Bytes::from_owner(HandedOver {
            events,
            unread: self.clone(),
            _held: held,
        })
    }

    /// Waits until no more is unread than each stream may hold without a part of the memory.
    pub(super) async fn wait_for_reader(&self) {
        while self.bytes.load(Ordering::Relaxed) > MemoryKind::Events.free_bytes() {
            self.written.notified().await;
        }
    }
}

/// Holds events until they are written.
struct HandedOver {
    events: Vec<u8>,
    unread: Arc<UnreadEvents>,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HandedOver {
    fn as_ref(&self) -> &[u8] {
        &self.events
    }
}

impl Drop for HandedOver {
    fn drop(&mut self) {
        let bytes = self.events.len();
        self.unread.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.unread.written.notify_one();
    }
}
