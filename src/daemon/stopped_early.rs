//! Stops before a daemon can handle signals.

use super::DaemonSignal;
use crate::prelude::*;

/// Says that a signal has asked for a stop before the daemon could handle it, which is no failure.
#[derive(Debug, thiserror::Error)]
#[error("stopped during the start")]
pub struct StoppedEarly(());

impl StoppedEarly {
    /// Waits for the pause before the next attempt; SIGHUP ends it.
    pub(super) fn unless_over(pause: Duration) -> Result<(), Self> {
        match DaemonSignal::wait_blocked(pause) {
            Ok(Some(why @ (DaemonSignal::Interrupt | DaemonSignal::Terminate))) => {
                spdlog::info!("start: stopped", kv: { why = why.as_str() });
                Err(Self(()))
            }
            Ok(Some(DaemonSignal::Hangup) | None) => Ok(()),
            Err(e) => {
                spdlog::error!("start: cannot wait for signals", kv: { why = e.desc() });
                std::thread::sleep(pause);
                Ok(())
            }
        }
    }
}
