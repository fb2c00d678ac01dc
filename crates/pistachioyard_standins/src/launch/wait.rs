//! Waits on conditions.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use super::error::LaunchError;

/// The time between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Looks at a condition again and again until it holds.
///
/// # Errors
///
/// Fails when it does not hold within the timeout; `what` names it in the error.
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
