//! A sender's part of a share.

use std::net::SocketAddr;

use super::SharedMemory;
use crate::prelude::*;

/// The size of the parts that are taken, in bytes.
pub(super) const PART_BYTES: usize = 4 * 1024;

/// Holds a sender's part of a share until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    memory: Arc<SharedMemory>,
    sender: SocketAddr,
    bytes: usize,
}

impl HeldMemory {
    /// Creates a part of no size.
    pub(crate) fn new(memory: Arc<SharedMemory>, sender: SocketAddr) -> Self {
        Self {
            memory,
            sender,
            bytes: 0,
        }
    }

    /// Holds what `size` bytes need, and gives back what they no longer do. Returns false if the
    /// share has not enough.
    pub(crate) fn resize(&mut self, size: usize) -> bool {
        self.shrink(size);
        let needed = self.needed(size);
        if needed > self.bytes && !self.memory.take(self.sender, needed - self.bytes) {
            return false;
        }
        self.bytes = needed;
        true
    }

    /// Does the same once the share has enough.
    pub(crate) async fn resize_when_free(&mut self, size: usize) {
        if self.resize(size) {
            return;
        }
        loop {
            self.memory.wait_for_memory().await;
            if self.resize(size) {
                // What was given back may be enough for several.
                self.memory.wake_next();
                return;
            }
        }
    }

    /// Gives back what `size` bytes do not need.
    pub(crate) fn shrink(&mut self, size: usize) {
        let needed = self.needed(size);
        if needed < self.bytes {
            self.memory.give_back(self.sender, self.bytes - needed);
            self.bytes = needed;
        }
    }

    /// Returns the size of the part that `size` bytes need.
    fn needed(&self, size: usize) -> usize {
        match size {
            size if size <= self.memory.kind().free_bytes() => 0,
            size => size.next_multiple_of(PART_BYTES),
        }
    }

    /// Returns whether a part of the share is held.
    pub(super) fn is_counted(&self) -> bool {
        self.bytes > 0
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.give_back(self.sender, self.bytes);
        }
    }
}
