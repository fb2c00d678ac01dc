//! The memory of events that are not complete.

use pistachioyard_platform::EventSplitter;

use super::{MAX_EVENT_BYTES, PathRun};
use crate::memory::{HeldMemory, MemoryKind};
use crate::router::short_reads::MAX_READ_BYTES;

/// The memory that a stream takes for an event larger than what is free, in bytes. It is taken at
/// once, since streams that each hold a part of an event would wait for each other.
const EVENT_MEMORY_BYTES: usize = 2 * MAX_EVENT_BYTES;

impl PathRun {
    /// Waits until there is memory for what is read next.
    pub(in crate::router::filter::relay) async fn wait_for_memory(
        &mut self,
        splitter: &EventSplitter,
    ) {
        let next = splitter.buffered_bytes() + MAX_READ_BYTES;
        let size = match next <= MemoryKind::Events.free_bytes() {
            true => 0,
            false => EVENT_MEMORY_BYTES,
        };
        self.held.resize_when_free(size).await;
    }

    /// Takes the memory of events that have become complete.
    pub(in crate::router::filter::relay) fn take_held(&mut self) -> HeldMemory {
        let memory = self.router.memory.events.clone();
        std::mem::replace(&mut self.held, HeldMemory::new(memory, self.caller))
    }
}
