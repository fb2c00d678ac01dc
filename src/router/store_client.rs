//! A client of the platform's store.
//!
//! A connection on which a call timed out may be dead, so the next call opens a new one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use pistachioyard_platform::{
    ListPage, Object, ObjectKind, StoreAnswerError, StoreCall, WatchPage, decode_list,
    decode_object, decode_watch,
};

use crate::client::{Answer, Call, HttpClient, Reuse};
use crate::error::CallError;
use crate::prelude::*;
use crate::router::metric;

/// How long the store may take to answer, in addition to the wait time of a long poll. The
/// store usually answers within 4 ms, and within a few hundred ms while it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Says why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No answer arrived, so a write may have been applied or may still be.
    #[error("{0}")]
    Unanswered(#[from] CallError),
    /// The store's answer is an error or cannot be decoded.
    #[error("{0}")]
    Fault(#[from] StoreAnswerError),
}

/// Calls the store and tracks whether it is reachable.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pooled: HttpClient,
    fresh: HttpClient,
    /// Whether the last call was answered; the statuses 429 and 5xx count as unanswered.
    is_reachable: AtomicBool,
    /// When a call last failed.
    last_failure: parking_lot::Mutex<Option<Instant>>,
}

impl StoreClient {
    /// Creates a client of the store at an address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: HttpClient::new(None, Reuse::Pooled),
            fresh: HttpClient::new(None, Reuse::Fresh),
            is_reachable: AtomicBool::new(true),
            last_failure: parking_lot::Mutex::new(None),
        }
    }

    /// Returns when a call last failed.
    pub(crate) fn last_failure(&self) -> Option<Instant> {
        *self.last_failure.lock()
    }

    /// Returns whether the last call was answered.
    pub(crate) fn is_reachable(&self) -> bool {
        self.is_reachable.load(Ordering::Relaxed)
    }

    /// Lists all objects of a kind; the revision is that of the first page.
    pub(crate) async fn list(&self, kind: ObjectKind, stale: bool) -> Result<ListPage, StoreError> {
        let mut list = self.list_page(kind, None, stale).await?;
        while let Some(after) = list.continue_after.take() {
            let page = self.list_page(kind, Some(&after), stale).await?;
            list.objects.extend(page.objects);
            list.continue_after = page.continue_after;
        }
        Ok(list)
    }

    async fn list_page(
        &self,
        kind: ObjectKind,
        after: Option<&str>,
        stale: bool,
    ) -> Result<ListPage, StoreError> {
        let answer = self.send(&StoreCall::list(kind, after, stale)).await?;
        Ok(decode_list(answer.status, &answer.body)?)
    }

    /// Waits for changes to the objects of a kind, with a long poll.
    pub(crate) async fn watch(
        &self,
        kind: ObjectKind,
        after_revision: u64,
        wait: Duration,
    ) -> Result<WatchPage, StoreError> {
        let wait_ms = super::log::ms(wait);
        let answer = self
            .send(&StoreCall::watch(kind, after_revision, wait_ms))
            .await?;
        Ok(decode_watch(answer.status, &answer.body)?)
    }

    /// Reads one object.
    pub(crate) async fn read(&self, kind: ObjectKind, name: &str) -> Result<Object, StoreError> {
        self.object(&StoreCall::read(kind, name)).await
    }

    /// Makes a call whose answer is a single object.
    pub(crate) async fn object(&self, call: &StoreCall) -> Result<Object, StoreError> {
        let answer = self.send(call).await?;
        Ok(decode_object(answer.status, &answer.body)?)
    }

    async fn send(&self, call: &StoreCall) -> Result<Answer, StoreError> {
        let mut http_call = Call::new(call.method.clone(), self.address, call.path.clone());
        if let Some(body) = &call.body {
            http_call = http_call.json(body);
        }
        let timeout = CALL_TIMEOUT + Duration::from_millis(call.wait_ms);
        let client = if self.is_reachable() {
            &self.pooled
        } else {
            &self.fresh
        };
        let answer = client.send(http_call, timeout).await;
        let refused = answer.as_ref().ok().and_then(|answer| {
            let status = answer.status.as_u16();
            (status == 429 || status >= 500).then_some(status)
        });
        self.record_result(answer.is_ok() && refused.is_none(), || match &answer {
            Ok(answer) => format!("status {}", answer.status),
            Err(e) => e.to_string(),
        });
        Ok(answer?)
    }

    fn record_result(&self, is_reachable: bool, why: impl FnOnce() -> String) {
        metric::count_store_call(is_reachable);
        let was_reachable = self.is_reachable.swap(is_reachable, Ordering::Relaxed);
        if !is_reachable {
            *self.last_failure.lock() = Some(Instant::now());
        }
        match (was_reachable, is_reachable) {
            (true, false) => spdlog::warn!("store: unreachable", kv: { why = why().as_str() }),
            (false, true) => spdlog::info!("store: reachable again"),
            _ => {}
        }
    }
}
