//! Limits the memory that things of a kind, whose sizes others decide, take together.
//!
//! A limit for each of them does not bound their sum. See `docs/design/memory.md`.

use std::collections::HashMap;
use std::net::SocketAddr;

/// Divides a share of the memory among those who send what it holds.
#[derive(Clone, Debug)]
pub struct MemoryShare {
    max_bytes: usize,
    used_bytes: usize,
    refusals: u64,
    by_sender: HashMap<SocketAddr, usize>,
}

impl MemoryShare {
    /// Creates a share of `max_bytes`, none of which is used.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            refusals: 0,
            by_sender: HashMap::new(),
        }
    }

    /// Takes memory for what a sender sent; returns whether there was enough.
    ///
    /// No sender gets more than what it leaves free, so that one that sends without end leaves
    /// room for what others send, and large things leave room for small ones.
    pub fn take(&mut self, sender: SocketAddr, bytes: usize) -> bool {
        let held = self.by_sender.get(&sender).copied().unwrap_or_default();
        let free = self.max_bytes.saturating_sub(self.used_bytes);
        if held + bytes > free.saturating_sub(bytes) {
            self.refusals += 1;
            return false;
        }
        self.used_bytes += bytes;
        self.by_sender.insert(sender, held + bytes);
        true
    }

    /// Gives memory back that a sender took.
    pub fn give_back(&mut self, sender: SocketAddr, bytes: usize) {
        let Some(held) = self.by_sender.get_mut(&sender) else {
            return;
        };
        let bytes = bytes.min(*held);
        *held -= bytes;
        self.used_bytes -= bytes;
        if *held == 0 {
            self.by_sender.remove(&sender);
        }
    }

    /// Returns the number of bytes that are used.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Returns the number of bytes that may be used.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns how often there was not enough.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }
}
