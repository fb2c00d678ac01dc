//! A share of the memory that tasks divide among them.

use std::net::SocketAddr;

use parking_lot::Mutex;
use pistachioyard_policy::MemoryShare;
use tokio::sync::Notify;

use super::MemoryKind;
use crate::prelude::*;

/// The shortest time between two log lines of a share that is used up.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The memory that all things of a kind take together.
#[derive(Debug)]
pub(crate) struct SharedMemory {
    kind: MemoryKind,
    share: Mutex<MemoryShare>,
    last_logged: Mutex<Option<Instant>>,
    /// Wakes one of those who wait for memory.
    given_back: Notify,
}

impl SharedMemory {
    /// Creates a share of `max_bytes` for things of a kind.
    pub(crate) fn new(kind: MemoryKind, max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            kind,
            share: Mutex::new(MemoryShare::new(max_bytes)),
            last_logged: Mutex::new(None),
            given_back: Notify::new(),
        })
    }

    /// Returns what the memory is held for.
    pub(crate) fn kind(&self) -> MemoryKind {
        self.kind
    }

    /// Returns the number of bytes that are used and how often there was not enough.
    pub(crate) fn usage(&self) -> (usize, u64) {
        let share = self.share.lock();
        (share.used_bytes(), share.refusals())
    }

    /// Takes memory for a sender; logs and returns false if there is not enough.
    pub(super) fn take(&self, sender: SocketAddr, bytes: usize) -> bool {
        let mut share = self.share.lock();
        if share.take(sender, bytes) {
            return true;
        }
        let (used_bytes, max_bytes) = (share.used_bytes(), share.max_bytes());
        let refusals = share.refusals();
        drop(share);
        if self.may_log(Instant::now()) {
            let address = sender.to_string();
            spdlog::warn!("http: a share of the memory is used up", kv: {
                kind = self.kind.as_str(), address = address.as_str(), bytes, used_bytes,
                max_bytes, refusals
            });
        }
        false
    }

    /// Gives memory back that a sender took.
    pub(super) fn give_back(&self, sender: SocketAddr, bytes: usize) {
        self.share.lock().give_back(sender, bytes);
        self.given_back.notify_one();
    }

    /// Waits until memory was given back.
    pub(super) async fn wait_for_memory(&self) {
        self.given_back.notified().await;
    }

    /// Wakes another one of those who wait for memory.
    pub(super) fn wake_next(&self) {
        self.given_back.notify_one();
    }

    fn may_log(&self, now: Instant) -> bool {
        let mut last = self.last_logged.lock();
        let may_log = last.is_none_or(|last| now.saturating_duration_since(last) >= LOG_INTERVAL);
        if may_log {
            *last = Some(now);
        }
        may_log
    }
}
