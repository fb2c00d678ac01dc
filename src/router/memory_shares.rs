//! Divides the memory of the machine among what others send.

use pistachioyard_policy::bytes_beside_connections;

use crate::memory::{MemoryKind, SharedMemory};
use crate::prelude::*;

/// The share of the memory beside connections for the answers of endpoints.
const ANSWERS_SHARE: f64 = 0.25;
/// The share of the memory beside connections for the bodies of requests.
const BODIES_SHARE: f64 = 0.2;
/// The share of the memory beside connections for events that are not complete or not read.
const EVENTS_SHARE: f64 = 0.1;
/// The share of the memory beside connections for the heads of requests.
const HEADS_SHARE: f64 = 0.1;
/// The share of the memory beside connections for the answers of the store and of peers.
const OWN_CALLS_SHARE: f64 = 0.15;

/// Holds the shares of the memory, by what they are for.
#[derive(Clone, Debug)]
pub(crate) struct MemoryShares {
    pub(crate) answers: Arc<SharedMemory>,
    pub(crate) bodies: Arc<SharedMemory>,
    pub(crate) events: Arc<SharedMemory>,
    pub(crate) heads: Arc<SharedMemory>,
    pub(crate) own_calls: Arc<SharedMemory>,
}

impl MemoryShares {
    /// Divides what the connections of a machine leave of its memory.
    pub(crate) fn new(machine_bytes: usize, max_descriptors: usize) -> Self {
        let left = bytes_beside_connections(machine_bytes, max_descriptors) as f64;
        let share = |kind, share| SharedMemory::new(kind, (left * share) as usize);
        Self {
            answers: share(MemoryKind::Answers, ANSWERS_SHARE),
            bodies: share(MemoryKind::Bodies, BODIES_SHARE),
            events: share(MemoryKind::Events, EVENTS_SHARE),
            heads: share(MemoryKind::Heads, HEADS_SHARE),
            own_calls: share(MemoryKind::OwnCalls, OWN_CALLS_SHARE),
        }
    }

    /// Returns all shares.
    pub(crate) fn all(&self) -> [&SharedMemory; 5] {
        [
            &self.answers,
            &self.bodies,
            &self.events,
            &self.heads,
            &self.own_calls,
        ]
    }
}
