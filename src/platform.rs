//! The adapter for the platform's object API and host list.
//!
//! All calls to the platform are in this module, so that support for another platform needs only
//! another adapter.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use http::Method;
use pistachioyard_wire::{
    HostRecord, ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer, WriteCondition,
    decode_host_list,
};

use crate::client::{Call, HttpClient};
use crate::error::CallError;
use crate::prelude::*;

/// The timeout of a read or write, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Calls the platform and tracks whether it is reachable.
pub(crate) struct Platform {
    client: HttpClient,
    address: SocketAddr,
    origin: Instant,
    /// The milliseconds from `origin` to the last response, plus 1; 0 if there was none.
    last_response: AtomicU64,
    /// The number of failed calls since the last response.
    failures_since_response: AtomicU64,
}

impl Platform {
    /// Creates an adapter for the platform at an address.
    pub(crate) fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            origin: Instant::now(),
            last_response: AtomicU64::new(0),
            failures_since_response: AtomicU64::new(0),
        }
    }

    /// Returns whether the platform has answered any call since this process started.
    pub(crate) fn has_answered(&self) -> bool {
        self.last_response.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the last call was answered.
    pub(crate) fn is_reachable(&self) -> bool {
        self.last_response.load(Ordering::Relaxed) > 0
            && self.failures_since_response.load(Ordering::Relaxed) == 0
    }

    /// Reads an object; returns `None` if it does not exist.
    pub(crate) async fn read(&self, key: &ObjectKey) -> Result<Option<ObjectRecord>, CallError> {
        let path = format!("/objects/{}", key.to_path_segment());
        let answer = self.record_result(
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
    /// After an error the write may or may not have taken effect.
    pub(crate) async fn write(
        &self,
        key: &ObjectKey,
        condition: WriteCondition,
        value: Option<String>,
    ) -> Result<WriteAnswer, CallError> {
        let path = format!("/objects/{}", key.to_path_segment());
        let call =
            Call::new(Method::PUT, self.address, path).json(&ObjectWrite { condition, value });
        self.record_result(self.client.send(call, timeout()).await)?
            .parse_success()
    }

    /// Waits up to `wait` for changes to objects under a prefix after a version.
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
        self.record_result(self.client.send(call, wait + timeout()).await)?
            .parse_success()
    }

    /// Reads the host list, which may be out of date, without the records that cannot be decoded.
    pub(crate) async fn hosts(&self) -> Result<Vec<HostRecord>, CallError> {
        let call = Call::get(self.address, "/hosts");
        let answer = self.record_result(self.client.send(call, timeout()).await)?;
        if !answer.status.is_success() {
            return Err(CallError::Status {
                to: self.address,
                status: answer.status.as_u16(),
            });
        }
        let (hosts, undecoded) = decode_host_list(&answer.body).map_err(|e| self.malformed(e))?;
        if let Some(first) = undecoded.first() {
            spdlog::warn!(
                "hosts: ignoring {} records, the first: {first}",
                undecoded.len()
            );
        }
        Ok(hosts)
    }

    /// Returns the error for an object of the platform that cannot be parsed.
    pub(crate) fn malformed(&self, why: impl ToString) -> CallError {
        CallError::Malformed {
            to: self.address,
            why: why.to_string(),
        }
    }

    /// Tracks whether a call was answered, and passes its result on.
    fn record_result<T>(&self, result: Result<T, CallError>) -> Result<T, CallError> {
        match &result {
            Ok(_) => {
                let elapsed = self.origin.elapsed().as_millis() as u64;
                self.last_response.store(elapsed + 1, Ordering::Relaxed);
                self.failures_since_response.store(0, Ordering::Relaxed);
            }
            Err(_) => {
                self.failures_since_response.fetch_add(1, Ordering::Relaxed);
            }
        }
        result
    }
}

fn timeout() -> Duration {
    Duration::from_millis(CALL_TIMEOUT_MS)
}
