//! Calls to the platform's store.
//!
//! A connection on which a call got no answer in time may have gone silent for
//! good, so the next call takes a new one.

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

/// How long the store may take to answer, beyond the time that it is asked to wait;
/// the store answers in 4 ms, and in some hundred while it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Why a call to the store brought nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No answer came, so a write may have been done or may still be.
    #[error("{0}")]
    Unanswered(#[from] CallError),
    /// The store answered that it did not do what was asked.
    #[error("{0}")]
    Fault(#[from] StoreAnswerError),
}

/// Calls the store and notes when it is lost and regained.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pooled: HttpClient,
    fresh: HttpClient,
    /// Whether the last call was answered.
    is_reached: AtomicBool,
    /// When the store was last found to be out of reach.
    last_failure: parking_lot::Mutex<Option<Instant>>,
}

impl StoreClient {
    /// Makes a client of the store at an address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            pooled: HttpClient::new(None, Reuse::Pooled),
            fresh: HttpClient::new(None, Reuse::Fresh),
            is_reached: AtomicBool::new(true),
            last_failure: parking_lot::Mutex::new(None),
        }
    }

    /// Returns when a call failed last.
    pub(crate) fn last_failure(&self) -> Option<Instant> {
        *self.last_failure.lock()
    }

    /// Tells whether the last call was answered.
    pub(crate) fn is_reached(&self) -> bool {
        self.is_reached.load(Ordering::Relaxed)
    }

    /// Lists a whole kind; the revision is that of the first page.
    pub(crate) async fn list(&self, kind: ObjectKind, stale: bool) -> Result<ListPage, StoreError> {
        let mut whole = self.list_page(kind, None, stale).await?;
        while let Some(after) = whole.continue_after.take() {
            let page = self.list_page(kind, Some(&after), stale).await?;
            whole.objects.extend(page.objects);
            whole.continue_after = page.continue_after;
        }
        Ok(whole)
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

    /// Waits for changes of a kind.
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

    /// Makes a call that is answered with one object.
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
        let client = if self.is_reached() {
            &self.pooled
        } else {
            &self.fresh
        };
        let answer = client.send(http_call, timeout).await;
        let refused = answer.as_ref().ok().and_then(|answer| {
            let status = answer.status.as_u16();
            (status == 429 || status >= 500).then_some(status)
        });
        self.note(answer.is_ok() && refused.is_none(), || match &answer {
            Ok(answer) => format!("status {}", answer.status),
            Err(e) => e.to_string(),
        });
        Ok(answer?)
    }

    fn note(&self, is_reached: bool, why: impl FnOnce() -> String) {
        metric::count_store_call(is_reached);
        let was_reached = self.is_reached.swap(is_reached, Ordering::Relaxed);
        if !is_reached {
            *self.last_failure.lock() = Some(Instant::now());
        }
        match (was_reached, is_reached) {
            (true, false) => spdlog::warn!("store: lost", kv: { why = why().as_str() }),
            (false, true) => spdlog::info!("store: regained"),
            _ => {}
        }
    }
}
