//! Keeps a loop of calls from being as fast as its answers.

use parking_lot::Mutex;
use pistachioyard_policy::CallPacer;

use crate::prelude::*;

/// Holds the calls that may be made now.
pub(crate) struct Pace(Mutex<CallPacer>);

impl Pace {
    /// Creates a pace that allows `burst` calls at once and then one each `interval`.
    pub(crate) const fn new(burst: u32, interval: Duration) -> Self {
        Self(Mutex::new(CallPacer::new(burst, interval)))
    }

    /// Waits until the next call may be made. A wait that is given up takes no call.
    pub(crate) async fn wait(&self) {
        while let Some(at) = self.take() {
            tokio::time::sleep_until(at.into()).await;
        }
    }

    /// Takes a call; if none is left, takes nothing and returns the time at which one is.
    pub(crate) fn take(&self) -> Option<Instant> {
        self.0.lock().take(Instant::now())
    }
}
