//! The platform's object API and host list, as the daemon uses them.
//!
//! All calls to the platform are in this module, so that another platform needs
//! another adapter and nothing else.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use http::Method;
use pistachioyard_wire::{
    HostRecord, ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer, WriteCondition,
};

use crate::client::{Call, HttpClient};
use crate::error::CallError;
use crate::prelude::*;

/// How long a read or write may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Calls the platform and remembers whether it answers.
pub(crate) struct Platform {
    client: HttpClient,
    address: SocketAddr,
    origin: Instant,
    /// Milliseconds from `origin` to the last answer, plus one; 0 for none.
    last_answer: AtomicU64,
    /// Whether the last call was answered.
    failures_since: AtomicU64,
}

impl Platform {
    /// Makes an adapter for the platform at an address.
    pub(crate) fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            origin: Instant::now(),
            last_answer: AtomicU64::new(0),
            failures_since: AtomicU64::new(0),
        }
    }

    /// Tells whether any call of this run was answered.
    pub(crate) fn has_answered(&self) -> bool {
        self.last_answer.load(Ordering::Relaxed) > 0
    }

    /// Tells whether the last call was answered.
    pub(crate) fn is_reachable(&self) -> bool {
        self.last_answer.load(Ordering::Relaxed) > 0
            && self.failures_since.load(Ordering::Relaxed) == 0
    }

    /// Reads an object; none if it does not exist.
    pub(crate) async fn read(&self, key: &ObjectKey) -> Result<Option<ObjectRecord>, CallError> {
        let path = format!("/objects/{}", key.to_path_segment());
        let answer = self.note(
            self.client
                .send(Call::get(self.address, path), timeout())
                .await,
        )?;
        if answer.status == http::StatusCode::NOT_FOUND {
            return Ok(None);
        }
        answer.parse_success().map(Some)
    }

    /// Writes an object if its condition holds.
    ///
    /// An error leaves open whether the write took effect.
    pub(crate) async fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: Option<String>,
    ) -> Result<WriteAnswer, CallError> {
        let path = format!("/objects/{}", key.to_path_segment());
        let call =
            Call::new(Method::PUT, self.address, path).json(&ObjectWrite { condition, value });
        self.note(self.client.send(call, timeout()).await)?
            .parse_success()
    }

    /// Waits up to `wait` for changes under a prefix after a version.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchPage, CallError> {
        let prefix = prefix.replace('/', "%2F");
        let wait_ms = wait.as_millis();
        let path = format!("/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let call = Call::get(self.address, path);
        self.note(self.client.send(call, wait + timeout()).await)?
            .parse_success()
    }

    /// Reads the host list, which may lag.
    pub(crate) async fn hosts(&self) -> Result<Vec<HostRecord>, CallError> {
        let call = Call::get(self.address, "/hosts");
        self.note(self.client.send(call, timeout()).await)?
            .parse_success()
    }

    /// Says that an object that the platform holds cannot be read.
    pub(crate) fn malformed(&self, why: impl ToString) -> CallError {
        CallError::Malformed {
            to: self.address,
            why: why.to_string(),
        }
    }

    fn note<T>(&self, result: Result<T, CallError>) -> Result<T, CallError> {
        match &result {
            Ok(_) => {
                let elapsed = self.origin.elapsed().as_millis() as u64;
                self.last_answer.store(elapsed + 1, Ordering::Relaxed);
                self.failures_since.store(0, Ordering::Relaxed);
            }
            Err(_) => {
                self.failures_since.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }
}

fn timeout() -> Duration {
    Duration::from_millis(CALL_TIMEOUT_MS)
}
