//! Prompt parts that crash a worker.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::HeaderMap;

use super::header;
use super::silence::fall_silent;

/// The id of a prompt part that crashes every worker that begins to write an answer on it.
pub(super) const CRASHING_PART: &str = "bad0bad0";
/// The time from the head of such an answer until the crash; a few events are sent meanwhile.
const CRASH_DELAY: Duration = Duration::from_millis(40);

/// Returns whether a part of the prompt, other than the last, is [`CRASHING_PART`].
pub(super) fn has_crashing_part(headers: &HeaderMap) -> bool {
    let parts = header(headers, "x-prompt-prefix").unwrap_or_default();
    let shared = parts.rsplit(',').skip(1);
    shared.map(str::trim).any(|part| {
        let id = part.split(':').next();
        id == Some(CRASHING_PART)
    })
}

/// Ends the process as a crash does.
pub(super) async fn crash_soon() {
    tokio::time::sleep(CRASH_DELAY).await;
    std::process::exit(1);
}

/// The time for which the connections of a worker that has crashed stay open.
const DARK_TIME: Duration = Duration::from_secs(6);

/// Ends the process as a crash does that nobody is told of: its connections stay open for long.
pub(super) async fn crash_in_the_dark(listen: SocketAddr) {
    fall_silent(listen, DARK_TIME).await;
    std::process::exit(1);
}
