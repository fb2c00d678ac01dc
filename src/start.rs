//! Starts of the daemons, which go on until nothing holds them up.
//!
//! The platform counts a process that ends by itself as faulty, and what holds up a start may pass:
//! another process has a port, an address is not there yet, or a file is not written yet.

mod attempts;
mod error;
mod step;

use std::pin::pin;

use tokio::sync::Notify;

pub(crate) use self::attempts::Attempts;
pub(crate) use self::error::StartError;
pub(crate) use self::step::StartStep;
use crate::daemon::{DaemonSignal, Signals};

/// Repeats an attempt until it succeeds; `hurry` ends the pause between two attempts.
pub(crate) async fn repeat<T>(
    hurry: &Notify,
    mut attempt: impl FnMut() -> Result<T, StartError>,
) -> T {
    let mut attempts = Attempts::begin();
    loop {
        match attempt() {
            Ok(done) => {
                attempts.succeed();
                return done;
            }
            Err(e) => {
                let pause = attempts.fail(&e);
                // Whether the pause is over or was cut short, the next attempt follows.
                let _ = tokio::time::timeout(pause, hurry.notified()).await;
            }
        }
    }
}

/// Runs a start to its end. SIGHUP makes it try again at once.
///
/// # Errors
///
/// Returns the signal that asks the process to stop before the start has ended.
pub(crate) async fn unless_stopped<T>(
    signals: &mut Signals,
    hurry: &Notify,
    start: impl Future<Output = T>,
) -> Result<T, DaemonSignal> {
    let mut start = pin!(start);
    loop {
        tokio::select! {
            done = &mut start => return Ok(done),
            signal = signals.next() => match signal {
                DaemonSignal::Hangup => hurry.notify_waiters(),
                DaemonSignal::Interrupt | DaemonSignal::Terminate => return Err(signal),
            },
        }
    }
}
