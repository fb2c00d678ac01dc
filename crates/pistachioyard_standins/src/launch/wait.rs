//! Polls conditions until they hold or a timeout expires.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::error::LaunchError;

/// The interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition until it holds.
///
/// # Errors
///
/// Fails when the condition does not hold within the timeout; `what` describes it in the error.
pub async fn wait_until<F, Fut>(
    timeout: Duration,
    what: &str,
    mut condition: F,
) -> Result<(), LaunchError>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if let Ok(true) = timeout_at(deadline, condition()).await {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(LaunchError::Timeout {
        what: what.to_owned(),
        timeout,
    })
}
