//! Calls of the client to the entries.

use std::net::SocketAddr;

use crate::client::{Answer, Call, HttpClient, Reuse};
use crate::error::CallError;
use crate::prelude::*;

/// How long an entry may take to answer, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 10_000;

/// No entry answered.
#[derive(Debug, thiserror::Error)]
#[error("none of the {tried} entries answered; the last one said: {last}")]
pub(crate) struct NoEntryAnswered {
    tried: usize,
    last: CallError,
}

/// Asks the entries one after the other until one answers with a success.
pub(crate) async fn ask_any(
    entries: &[SocketAddr],
    make: impl Fn(SocketAddr) -> Call,
) -> Result<Answer, NoEntryAnswered> {
    let client = HttpClient::new(None, Reuse::Fresh);
    let mut last = None;
    for entry in entries {
        let answer = client
            .send(make(*entry), Duration::from_millis(ANSWER_TIMEOUT_MS))
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
