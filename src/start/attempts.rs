//! The attempts of a start.

use pistachioyard_policy::StartRetries;

use super::{StartError, StartStep};
use crate::prelude::*;

/// Paces the attempts of a start and logs how they end.
pub(crate) struct Attempts {
    began_at: Instant,
    retries: StartRetries<StartStep>,
    failed: Option<StartStep>,
}

impl Attempts {
    /// Begins with none.
    pub(crate) fn begin() -> Self {
        Self {
            began_at: Instant::now(),
            retries: StartRetries::default(),
            failed: None,
        }
    }

    /// Records a failure, and returns the pause before the next attempt.
    pub(crate) fn fail(&mut self, e: &StartError) -> Duration {
        self.failed = Some(e.step());
        let retry = self.retries.fail(e.step(), &mut rand::rng());
        if retry.is_logged {
            spdlog::warn!("start: step failed", kv: {
                step = e.step().as_str(), why = e.to_string().as_str(),
                attempt = retry.attempt, retry_ms = retry.pause.as_millis() as u64
            });
        }
        retry.pause
    }

    /// Logs that an attempt has succeeded, if others failed before.
    pub(crate) fn succeed(self) {
        if let Some(step) = self.failed {
            spdlog::info!("start: step succeeded", kv: {
                step = step.as_str(), failed_attempts = self.retries.failed_attempts(),
                took_ms = self.began_at.elapsed().as_millis() as u64
            });
        }
    }
}
