//! Whether the process serves, drains or stops, and what is in progress.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};

use tokio::sync::Notify;

use crate::prelude::*;

/// The stage after a stop was asked for; 0 is the stage before.
const DRAINING: u8 = 1;
/// The stage in which new work is refused.
const STOPPING: u8 = 2;

/// The stage of the process's life.
///
/// A draining entry still takes work from callers that hold an old address list;
/// a stopping one refuses new work and only finishes what it has.
#[derive(Default)]
pub(crate) struct Lifecycle {
    stage: AtomicU8,
    in_flight: AtomicUsize,
    has_begun: AtomicBool,
    idle: Notify,
}

impl Lifecycle {
    /// Tells whether a stop was asked for.
    pub(crate) fn is_draining(&self) -> bool {
        self.stage.load(Ordering::SeqCst) >= DRAINING
    }

    /// Tells whether new work is refused.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stage.load(Ordering::SeqCst) == STOPPING
    }

    /// Begins to drain.
    pub(crate) fn drain(&self) {
        self.stage.fetch_max(DRAINING, Ordering::SeqCst);
    }

    /// Begins to refuse new work.
    pub(crate) fn stop(&self) {
        self.stage.store(STOPPING, Ordering::SeqCst);
        self.idle.notify_waiters();
    }

    /// Counts a request as in progress until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the process is stopping.
    pub(crate) fn begin(self: &Arc<Self>) -> Result<InFlight, Problem> {
        // The count goes up before the stage is read, so that a stop which has
        // seen no request in progress refuses every later one.
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.has_begun.store(true, Ordering::Relaxed);
        let guard = InFlight {
            lifecycle: self.clone(),
        };
        if self.is_stopping() {
            return Err(Problem::new(
                ProblemKind::Stopping,
                Outcome::NotRun,
                "this entry is stopping; ask GET /v1/entries of another entry",
            )
            .with_retry_after_ms(0));
        }
        Ok(guard)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Tells whether any request has come since the start.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun.load(Ordering::Relaxed)
    }

    /// Waits until new work is refused.
    pub(crate) async fn stopped(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.is_stopping() {
                return;
            }
            notified.await;
        }
    }

    /// Waits until no request is in progress.
    pub(crate) async fn wait_until_idle(&self) {
        loop {
            let notified = self.idle.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.in_flight() == 0 {
                return;
            }
            notified.await;
        }
    }
}

/// Counts one request as in progress.
pub(crate) struct InFlight {
    lifecycle: Arc<Lifecycle>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.lifecycle.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.lifecycle.idle.notify_waiters();
        }
    }
}
