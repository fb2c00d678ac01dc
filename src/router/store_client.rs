//! A client of the platform's store.
//!
//! A connection on which a call timed out may be dead, so the next call opens a new one.
//! The store may come back from an older copy; each answer tells its era.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};

use pistachioyard_platform::{
    ListPage, Object, ObjectKind, StoreAnswerError, StoreCall, WatchPage, decode_era, decode_list,
    decode_object, decode_watch,
};
use pistachioyard_policy::{EraNews, EraTracker, StoreEra, is_other_era};
use tokio::sync::watch;

use crate::client::{Answer, Call, HttpClient, MAX_ANSWER_BYTES, Reuse};
use crate::error::CallError;
use crate::memory::SharedMemory;
use crate::prelude::*;
use crate::router::metric;
use crate::router::store_pace::StorePace;

/// How long the store may take to answer, in addition to the wait time of a long poll. The
/// store usually answers within 4 ms, and within a few hundred ms while it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// After which time without an answer a list that must not be late is requested once more, on a
/// new connection.
const HEDGE_AFTER: Duration = Duration::from_millis(250);
/// The name of an object that no kind has; a call for it tells whether the store answers.
const NO_OBJECT: &str = "-";
/// The number of pages of a list. A fleet of 10,000 endpoints has 20 (`docs/CAPACITY.md`).
const MAX_LIST_PAGES: usize = 64;
/// The size of all objects of a list in memory, in bytes; as for a single page.
const MAX_LIST_BYTES: usize = MAX_ANSWER_BYTES;

/// Says why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreError {
    /// No answer arrived, so a write may have been applied or may still be.
    #[error("{0}")]
    Unanswered(#[from] CallError),
    /// The store's answer is an error or cannot be decoded.
    #[error("{0}")]
    Fault(#[from] StoreAnswerError),
    /// A list has more pages or objects than are read.
    #[error("the list has more than {MAX_LIST_PAGES} pages or {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// The answer is from before the store came back from an older copy, so what it says may
    /// be gone.
    #[error("the answer is of era {} of the store, which is in era {}", answer.0, known.0)]
    EarlierEra {
        /// The era of the answer.
        answer: StoreEra,
        /// The latest known era.
        known: StoreEra,
    },
}

/// Holds a result and the store's era at that time; the last known one if the answer does not
/// name it.
#[derive(Debug)]
pub(crate) struct InEra<T> {
    pub(crate) value: T,
    pub(crate) era: Option<StoreEra>,
}

/// Calls the store and tracks whether it is reachable.
pub(crate) struct StoreClient {
    address: SocketAddr,
    pooled: HttpClient,
    fresh: HttpClient,
    pace: StorePace,
    /// Whether the last call was answered; the statuses 429 and 5xx count as unanswered.
    is_reachable: AtomicBool,
    /// When a call last failed.
    last_failure: parking_lot::Mutex<Option<Instant>>,
    eras: parking_lot::Mutex<EraTracker>,
    /// The known era.
    era: watch::Sender<Option<StoreEra>>,
    /// When an answer first told that the store came back from an older copy.
    last_return: parking_lot::Mutex<Option<Instant>>,
}

impl StoreClient {
    /// Creates a client of the store at an address, whose connections are bound to `local` and whose
    /// answers share `memory`.
    pub(crate) fn new(local: IpAddr, address: SocketAddr, memory: &Arc<SharedMemory>) -> Self {
        Self {
            address,
            pooled: HttpClient::new(Some(local), Reuse::Pooled).with_memory(memory),
            fresh: HttpClient::new(Some(local), Reuse::Fresh).with_memory(memory),
            pace: StorePace::default(),
            is_reachable: AtomicBool::new(true),
            last_failure: parking_lot::Mutex::new(None),
            eras: parking_lot::Mutex::default(),
            era: watch::Sender::new(None),
            last_return: parking_lot::Mutex::new(None),
        }
    }

    /// Returns when a call last failed.
    pub(crate) fn last_failure(&self) -> Option<Instant> {
        *self.last_failure.lock()
    }

    /// Returns when an answer first told that the store came back from an older copy.
    pub(crate) fn last_return(&self) -> Option<Instant> {
        *self.last_return.lock()
    }

    /// Returns whether the last call was answered.
    pub(crate) fn is_reachable(&self) -> bool {
        self.is_reachable.load(Ordering::Relaxed)
    }

    /// Returns the known era of the store.
    pub(crate) fn era(&self) -> Option<StoreEra> {
        *self.era.borrow()
    }

    /// Waits until the store is in another era than `seen`.
    pub(crate) async fn wait_for_other_era(&self, seen: Option<StoreEra>) {
        let mut era = self.era.subscribe();
        // The sender lives as long as this client, so the channel is not closed.
        let _ = era.wait_for(|now| is_other_era(*now, seen)).await;
    }

    /// Lists all objects of a kind; the revision is that of the first page.
    pub(crate) async fn list(
        &self,
        kind: ObjectKind,
        stale: bool,
    ) -> Result<InEra<ListPage>, StoreError> {
        self.pace.wait_for_read(kind).await;
        self.list_over(self.client(), kind, stale).await
    }

    /// Lists all objects of a kind as [`StoreClient::list`] does, but does not wait long for a
    /// connection that may be dead.
    pub(crate) async fn list_in_time(
        &self,
        kind: ObjectKind,
    ) -> Result<InEra<ListPage>, StoreError> {
        self.pace.wait_for_read(kind).await;
        let is_pooled = self.is_reachable();
        let first = self.list_over(self.client(), kind, false);
        tokio::pin!(first);
        if !is_pooled {
            return first.await;
        }
        if let Ok(page) = tokio::time::timeout(HEDGE_AFTER, &mut first).await {
            return page;
        }
        tokio::select! {
            Ok(page) = &mut first => Ok(page),
            page = self.list_over(&self.fresh, kind, false) => page,
        }
    }

    async fn list_over(
        &self,
        client: &HttpClient,
        kind: ObjectKind,
        stale: bool,
    ) -> Result<InEra<ListPage>, StoreError> {
        let mut list = self.list_page(client, kind, None, stale).await?;
        let mut bytes = size(&list.value.objects);
        let mut pages = 1;
        while let Some(after) = list.value.continue_after.take() {
            self.pace.wait_for_page().await;
            let page = self.list_page(client, kind, Some(&after), stale).await?;
            check_era(list.era, page.era)?;
            if page.value.continue_after.as_ref() == Some(&after) {
                return Err(StoreAnswerError::NoNextPage.into());
            }
            pages += 1;
            bytes += size(&page.value.objects);
            if pages > MAX_LIST_PAGES || bytes > MAX_LIST_BYTES {
                return Err(StoreError::TooLong);
            }
            list.value.objects.extend(page.value.objects);
            list.value.continue_after = page.value.continue_after;
        }
        Ok(list)
    }

    async fn list_page(
        &self,
        client: &HttpClient,
        kind: ObjectKind,
        after: Option<&str>,
        stale: bool,
    ) -> Result<InEra<ListPage>, StoreError> {
        let call = StoreCall::list(kind, after, stale);
        let InEra { value, era } = self.send(client, &call).await?;
        let value = decode_list(value.status, &value.body)?;
        log_undecoded(kind, value.undecoded_count, &value.undecoded);
        Ok(InEra { value, era })
    }

    /// Waits for changes to the objects of a kind, with a long poll.
    pub(crate) async fn watch(
        &self,
        kind: ObjectKind,
        after_revision: u64,
        wait: Duration,
    ) -> Result<InEra<WatchPage>, StoreError> {
        self.pace.wait_for_read(kind).await;
        let wait_ms = super::log::ms(wait);
        let call = StoreCall::watch(kind, after_revision, wait_ms);
        let InEra { value, era } = match self.send(self.client(), &call).await {
            Err(StoreError::Unanswered(CallError::AnswerLost { to })) => {
                // The store may cut off a watch; that it is away, a call that does not wait tells.
                let asked = StoreCall::read(kind, NO_OBJECT);
                let _ = self.send(&self.fresh, &asked).await;
                return Err(StoreError::Unanswered(CallError::AnswerLost { to }));
            }
            answer => answer?,
        };
        let value = decode_watch(value.status, &value.body)?;
        log_undecoded(kind, value.undecoded_count, &value.undecoded);
        Ok(InEra { value, era })
    }

    /// Reads one object.
    pub(crate) async fn read(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<InEra<Object>, StoreError> {
        self.object(&StoreCall::read(kind, name)).await
    }

    /// Makes a call whose answer is a single object.
    pub(crate) async fn object(&self, call: &StoreCall) -> Result<InEra<Object>, StoreError> {
        let InEra { value, era } = self.send(self.client(), call).await?;
        let value = decode_object(value.status, &value.body)?;
        Ok(InEra { value, era })
    }

    /// Returns the client for the next call; a kept connection may be dead after a failure.
    fn client(&self) -> &HttpClient {
        match self.is_reachable() {
            true => &self.pooled,
            false => &self.fresh,
        }
    }

    async fn send(
        &self,
        client: &HttpClient,
        call: &StoreCall,
    ) -> Result<InEra<Answer>, StoreError> {
        let mut http_call = Call::new(call.method.clone(), self.address, call.path.clone());
        if let Some(body) = &call.body {
            http_call = http_call.json(body);
        }
        let timeout = CALL_TIMEOUT + Duration::from_millis(call.wait_ms);
        let sent_at = Instant::now();
        let answer = client.send(http_call, timeout).await;
        if let Err(CallError::Shortage { of, .. }) = &answer {
            metric::count_shortage(*of);
        }
        let refused = answer.as_ref().ok().and_then(|answer| {
            let status = answer.status.as_u16();
            (status == 429 || status >= 500).then_some(status)
        });
        let is_cut_off = call.wait_ms > 0 && matches!(&answer, Err(CallError::AnswerLost { .. }));
        if !is_cut_off {
            self.record_result(answer.is_ok() && refused.is_none(), || match &answer {
                Ok(answer) => format!("status {}", answer.status),
                Err(e) => e.to_string(),
            });
        }
        let value = answer?;
        let era = self.note_era(&value, sent_at)?;
        Ok(InEra { value, era })
    }

    /// Records the era of an answer and returns it; an answer of an earlier era is an error.
    fn note_era(&self, answer: &Answer, sent_at: Instant) -> Result<Option<StoreEra>, StoreError> {
        let named = decode_era(&answer.headers).unwrap_or_else(|e| {
            spdlog::debug!("store: ignoring the era", kv: { why = e.to_string().as_str() });
            None
        });
        let now = Instant::now();
        // Held to the end, so that what waits for an era sees them in order.
        let mut eras = self.eras.lock();
        let news = eras.note(named, sent_at, now);
        let known = eras.known();
        let era = known.map_or(0, |era| era.0);
        match news {
            EraNews::Same => {}
            EraNews::Later => spdlog::warn!("store: came back from an older copy", kv: { era }),
            EraNews::WentBack => spdlog::warn!("store: its eras have begun anew", kv: { era }),
            EraNews::Outdated => check_era(named, known)?,
        }
        if let EraNews::Later | EraNews::WentBack = news {
            // Set before the era, since those that it wakes read it.
            *self.last_return.lock() = Some(now);
        }
        self.era.send_if_modified(|era| {
            let is_changed = *era != known;
            *era = known;
            is_changed
        });
        Ok(named.or(known))
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

/// Logs why the objects of a kind could not be read, unless no answer came or the store refused the
/// call, which [`StoreClient`] logs when it begins.
pub(super) fn log_unread(kind: ObjectKind, e: &StoreError) {
    match e {
        StoreError::Unanswered(_) | StoreError::Fault(StoreAnswerError::Refused { .. }) => {}
        StoreError::Fault(_) | StoreError::TooLong | StoreError::EarlierEra { .. } => {
            spdlog::warn!("store: cannot read", kv: {
                kind = kind.0, why = e.to_string().as_str()
            });
        }
    }
}

/// Returns how much memory objects take, in bytes.
fn size(objects: &[Object]) -> usize {
    let texts = objects.iter().map(|o| o.name.len() + o.spec.get().len());
    texts.sum::<usize>() + std::mem::size_of_val(objects)
}

/// Checks that an answer is not of an earlier era than the known one.
fn check_era(answer: Option<StoreEra>, known: Option<StoreEra>) -> Result<(), StoreError> {
    match (answer, known) {
        (Some(answer), Some(known)) if known > answer => {
            Err(StoreError::EarlierEra { answer, known })
        }
        _ => Ok(()),
    }
}

/// Logs that objects of a page were skipped.
fn log_undecoded(kind: ObjectKind, count: usize, undecoded: &[StoreAnswerError]) {
    if let Some(first) = undecoded.first() {
        spdlog::warn!("store: ignoring objects that cannot be decoded", kv: {
            kind = kind.0, count, why = first.to_string().as_str()
        });
    }
}
