//! Requests to a site with checks of their answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use http::Method;
use xxhash_rust::xxh3::xxh3_64;

use super::support::{KEY, Site};

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Says how a request failed, as its caller sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The router refused the request with this status, which guarantees that it did not run.
    NotRun(u16),
    /// The request may or may not have run; holds the reason.
    Unknown(String),
}

/// Holds a request's id and result.
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) result: Result<(), Failure>,
}

/// Returns a request id that is unique across concurrent test processes.
pub(crate) fn new_request_id() -> String {
    format!(
        "{:08x}-{}",
        std::process::id(),
        NEXT_ID.fetch_add(1, Ordering::Relaxed)
    )
}

/// Returns the data of event `n` of a request, computed as the stand-in does.
pub(crate) fn event_payload(id: &str, n: u64) -> String {
    format!("{:016x}", xxh3_64(format!("{id}/{n}").as_bytes()))
}

impl Site {
    /// Sends a request with the given id and returns the status and body of the answer.
    pub(crate) async fn send_request(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        id: &str,
        extra: &[(&str, &str)],
    ) -> Result<(u16, Vec<u8>), Failure> {
        let key = format!("Bearer {KEY}");
        let mut headers = vec![("x-attempt-id", id), ("authorization", key.as_str())];
        if !extra.iter().any(|(name, _)| *name == "x-deadline-ms") {
            headers.push(("x-deadline-ms", "5000"));
        }
        headers.extend_from_slice(extra);
        let result = self
            .client
            .send(method, to, path, &headers, "body".into())
            .await;
        let answer = result.map_err(|e| Failure::Unknown(format!("{e:?}")))?;
        Ok((answer.status.as_u16(), answer.body.to_vec()))
    }

    /// Requests a stream and checks that every event arrives once, in order and unaltered.
    pub(crate) async fn check_stream(&self, to: SocketAddr) -> Result<(), Failure> {
        self.check_stream_with_id(to, &new_request_id()).await
    }

    /// Does the same as [`Site::check_stream`] with the given request id.
    pub(crate) async fn check_stream_with_id(
        &self,
        to: SocketAddr,
        id: &str,
    ) -> Result<(), Failure> {
        self.check_stream_with(to, id, &[]).await
    }

    /// Does the same as [`Site::check_stream_with_id`] with additional headers.
    pub(crate) async fn check_stream_with(
        &self,
        to: SocketAddr,
        id: &str,
        extra: &[(&str, &str)],
    ) -> Result<(), Failure> {
        let mut headers = vec![("x-token-usage", "100,20")];
        headers.extend_from_slice(extra);
        let (status, body) = self
            .send_request(to, Method::POST, "/draft/a", id, &headers)
            .await?;
        match status {
            200 => {
                let expected: String = (0..self.layout.events)
                    .map(|n| format!("id: {n}\ndata: {}\n\n", event_payload(id, n)))
                    .collect();
                assert_eq!(
                    String::from_utf8_lossy(&body),
                    expected,
                    "the stream of {id}"
                );
                Ok(())
            }
            408 | 421 | 429 | 503 => Err(Failure::NotRun(status)),
            status => Err(Failure::Unknown(format!("status {status}"))),
        }
    }

    /// Sends a request to the service without a pipeline and checks its answer.
    pub(crate) async fn check_plain(&self, to: SocketAddr, path: &str) -> Outcome {
        let id = new_request_id();
        let result = self.send_request(to, Method::POST, path, &id, &[]).await;
        let result = match result {
            Ok((200, body)) => {
                let expected = format!("{}\n\n", event_payload(&id, 0));
                assert_eq!(
                    String::from_utf8_lossy(&body),
                    expected,
                    "the answer to {id}"
                );
                Ok(())
            }
            Ok((status @ (408 | 421 | 429 | 503), _)) => Err(Failure::NotRun(status)),
            Ok((status, _)) => Err(Failure::Unknown(format!("status {status}"))),
            Err(failure) => Err(failure),
        };
        Outcome { id, result }
    }
}
