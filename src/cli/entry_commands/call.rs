//! The client's calls to entries.

use std::net::SocketAddr;

use crate::client::{Answer, Call, HttpClient, Reuse};
use crate::error::CallError;
use crate::prelude::*;

/// The timeout of a call to an entry, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// The error for a call that no entry answered with a success status.
#[derive(Debug, thiserror::Error)]
#[error("none of the {tried} entries answered with a success status; last error: {last}")]
pub(crate) struct NoEntryAnswered {
    tried: usize,
    last: CallError,
}

/// Calls the entries one after the other until one answers with a success status.
pub(crate) async fn call_any(
    entries: &[SocketAddr],
    make_call: impl Fn(SocketAddr) -> Call,
) -> Result<Answer, NoEntryAnswered> {
    let client = HttpClient::new(None, Reuse::Fresh);
    let mut last = None;
    for entry in entries {
        let answer = client
            .send(make_call(*entry), Duration::from_millis(ANSWER_TIMEOUT_MS))
            .await;
        match answer {
            Ok(answer) if answer.status.is_success() => return Ok(answer),
            Ok(answer) => {
                last = Some(CallError::Status {
                    to: *entry,
                    status: answer.status.as_u16(),
                });
            }
            Err(e) => last = Some(e),
        }
    }
    Err(NoEntryAnswered {
        tried: entries.len(),
        last: last.unwrap_or(CallError::NotSent {
            to: SocketAddr::from(([0, 0, 0, 0], 0)),
        }),
    })
}
