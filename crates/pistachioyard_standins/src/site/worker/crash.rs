//! Crashes the worker on a part of a prompt.

use std::time::Duration;

/// The id of a prompt part that crashes every worker that begins to write an answer on it.
pub(super) const CRASHING_PART: &str = "bad0bad0";
/// The time from the head of such an answer until the crash; a few events are sent meanwhile.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Returns whether a part of the prompt, other than the last, is [`CRASHING_PART`].
pub(super) fn has_crashing_part(parts: Option<&str>) -> bool {
    let shared = parts.unwrap_or_default().rsplit(',').skip(1);
    shared.map(str::trim).any(|part| {
        let id = part.split(':').next();
        id == Some(CRASHING_PART)
    })
}

/// Ends the process after [`CRASH_DELAY`].
pub(super) async fn crash_soon() {
    tokio::time::sleep(CRASH_DELAY).await;
    std::process::exit(1);
}
