//! Tracks whether the process serves, drains or stops, and the requests in progress.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

use crate::prelude::*;

/// The phase in which a stop was requested and new work is still accepted; it follows phase 0.
const DRAINING: u8 = 1;
/// The phase in which new work is refused.
const STOPPING: u8 = 2;

/// Holds the lifecycle phase of the process and counts the requests in progress.
///
/// A draining entry still accepts work from callers that hold an old address list. A stopping
/// entry refuses new work and only completes the requests in progress.
#[derive(Default)]
pub(crate) struct Lifecycle {
    phase: AtomicU8,
    in_flight: AtomicUsize,
    open_connections: AtomicUsize,
    has_received_requests: AtomicBool,
    /// When the requests in progress are cut off, if a stop was requested that does so.
    ends_at: OnceLock<Instant>,
    changed: Notify,
}

impl Lifecycle {
    /// Returns whether a stop was requested.
    pub(crate) fn is_draining(&self) -> bool {
        self.phase.load(Ordering::SeqCst) >= DRAINING
    }

    /// Returns whether new work is refused.
    pub(crate) fn is_stopping(&self) -> bool {
        self.phase.load(Ordering::SeqCst) == STOPPING
    }

    /// Starts draining.
    pub(crate) fn drain(&self) {
        self.phase.fetch_max(DRAINING, Ordering::SeqCst);
    }

    /// Starts draining; the requests that are still in progress at `ends_at` are cut off.
    pub(crate) fn drain_until(&self, ends_at: Instant) {
        // A second request to stop does not move the end.
        let _ = self.ends_at.set(ends_at);
        self.drain();
    }

    /// Returns whether a request with this deadline may be cut off before it.
    pub(crate) fn ends_before(&self, deadline: Instant) -> bool {
        self.ends_at
            .get()
            .is_some_and(|ends_at| *ends_at < deadline)
    }

    /// Starts refusing new work.
    pub(crate) fn stop(&self) {
        self.phase.store(STOPPING, Ordering::SeqCst);
        self.changed.notify_waiters();
    }

    /// Counts a request as in progress until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the process is stopping.
    pub(crate) fn begin(self: &Arc<Self>) -> Result<InFlight, Problem> {
        // The count is incremented before the phase is read, so that a stop that has seen no
        // request in progress refuses every later one.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.has_received_requests.store(true, Ordering::Relaxed);
        let guard = InFlight {
            lifecycle: self.clone(),
        };
        match self.is_stopping() {
            true => Err(stopping()),
            false => Ok(guard),
        }
    }

    /// Counts a caller's connection as open until the returned guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        OpenConnection {
            lifecycle: self.clone(),
        }
    }

    /// Returns the number of open connections of callers.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns whether any request has arrived since the process started.
    pub(crate) fn has_received_requests(&self) -> bool {
        self.has_received_requests.load(Ordering::Relaxed)
    }

    /// Waits until new work is refused.
    pub(crate) async fn stopped(&self) {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_stopping() {
                return;
            }
            notified.await;
        }
    }

    /// Waits until no request is in progress and no caller's connection is open.
    ///
    /// A request is no longer in progress once its answer is known; its connection stays open
    /// until the answer was written.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.in_flight() == 0 && self.open_connections() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Returns the refusal of a stopping entry.
pub(crate) fn stopping() -> Problem {
    Problem::new(
        ProblemKind::Stopping,
        Outcome::NotRun,
        "this entry is stopping; send GET /v1/entries to another entry",
    )
    .with_retry_after_ms(0)
}

/// Counts one request as in progress until it is dropped.
pub(crate) struct InFlight {
    lifecycle: Arc<Lifecycle>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.lifecycle.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.lifecycle.changed.notify_waiters();
        }
    }
}

/// Counts a caller's connection as open until it is dropped.
pub(crate) struct OpenConnection {
    lifecycle: Arc<Lifecycle>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = &self.lifecycle.open_connections;
        if open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.lifecycle.changed.notify_waiters();
        }
    }
}
