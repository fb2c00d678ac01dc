//! Collects bytes within a share of the memory.

use bytes::Bytes;

use super::HeldMemory;
use super::held_memory::PART_BYTES;

/// The factor by which a buffer grows at least. A smaller one leaves more freed blocks behind, which
/// the allocator keeps.
const GROWTH_FACTOR: usize = 2;

/// Collects the body of a request or an answer.
///
/// The bytes are copied, since a body may come in chunks of a few bytes, each of which would keep
/// a buffer alive. What is allocated counts, not what is filled.
#[derive(Debug)]
pub(crate) struct ByteBuffer {
    buf: Vec<u8>,
    held: HeldMemory,
}

impl ByteBuffer {
    pub(crate) fn new(held: HeldMemory) -> Self {
        Self {
            buf: Vec::new(),
            held,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.buf.len()
    }

    /// Appends received bytes; returns whether there was memory for them.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        let needed = self.buf.len() + data.len();
        if needed > self.buf.capacity() {
            let capacity = self.grown_capacity(needed);
            if !self.held.resize(capacity) {
                return false;
            }
            self.buf.reserve_exact(capacity - self.buf.len());
        }
        self.buf.extend_from_slice(data);
        true
    }

    /// Returns the bytes, which hold their memory until they are dropped.
    pub(crate) fn freeze(self) -> Bytes {
        match self.held.is_counted() {
            true => Bytes::from_owner(self),
            false => Bytes::from(self.buf),
        }
    }

    /// Returns the capacity for `needed` bytes. The first chunk is often the only one.
    fn grown_capacity(&self, needed: usize) -> usize {
        match self.buf.capacity() {
            0 => needed,
            capacity => {
                let grown = needed.max(capacity * GROWTH_FACTOR);
                grown.next_multiple_of(PART_BYTES)
            }
        }
    }
}

impl AsRef<[u8]> for ByteBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
