//! The claim ledger, stored through the platform's object API.
//!
//! Changes to one page are batched for a few milliseconds into one conditional write. If the
//! response to a write is lost, the page is read again and the same changes are applied once more
//! (`docs/design/claim-ledger.md`).

mod sent_keys;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use pistachioyard_policy::{
    ChangeAnswer, Claim, KeyAgeError, LedgerChange, LedgerLayout, LedgerPage, LedgerPageError,
};
use pistachioyard_wire::{ObjectKey, ObjectRecord, OperationKey, WriteAnswer, WriteCondition};
use tokio::sync::oneshot;

use self::sent_keys::SentKeys;
use crate::error::CallError;
use crate::platform::Platform;
use crate::prelude::*;

/// How long changes to a page are batched before they are written, in milliseconds.
const BATCH_DELAY_MS: u64 = 3;
/// The backoff after a failed call to the platform, in milliseconds.
const BACKOFF_MS: u64 = 50;
/// How often a flush checks for unwritten changes, in milliseconds.
const FLUSH_POLL_MS: u64 = 20;

/// The reason why a change was not recorded or a page was not read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LedgerError {
    /// The deadline passed before the change was sent.
    #[error("the change was not sent to the platform before its deadline")]
    NotRecorded,
    /// The change was sent, but the platform's response was lost.
    #[error("the platform's response was lost, so the change may or may not be recorded")]
    Undecided,
    /// The page cannot be parsed.
    #[error(transparent)]
    Page(#[from] LedgerPageError),
    /// The page could not be read from the platform.
    #[error(transparent)]
    Read(#[from] CallError),
}

/// A change that waits to be written, with the channel for its result.
struct Pending {
    change: LedgerChange,
    deadline: Instant,
    attempted: bool,
    reply: oneshot::Sender<Result<ChangeAnswer, LedgerError>>,
}

/// A page as last read or written, with the condition for overwriting it.
#[derive(Clone)]
struct KnownPage {
    condition: WriteCondition,
    page: LedgerPage,
}

/// Records the claims and outcomes of operations.
pub(crate) struct Ledger {
    platform: Arc<Platform>,
    layout: LedgerLayout,
    queues: Mutex<HashMap<ObjectKey, Vec<Pending>>>,
    unwritten: AtomicUsize,
    sent: Mutex<SentKeys>,
}

impl Ledger {
    /// Creates a ledger that is stored on the platform.
    pub(crate) fn new(platform: Arc<Platform>) -> Self {
        Self {
            platform,
            layout: LedgerLayout::default(),
            queues: Mutex::new(HashMap::new()),
            unwritten: AtomicUsize::new(0),
            sent: Mutex::default(),
        }
    }

    /// Records that a call with the key is about to be sent.
    pub(crate) fn note_sent(&self, key: OperationKey) {
        self.sent.lock().insert(key);
    }

    /// Returns whether this process has sent a call with the key.
    pub(crate) fn was_sent(&self, key: OperationKey) -> bool {
        self.sent.lock().contains(key)
    }

    /// Returns how keys are distributed over pages.
    pub(crate) fn layout(&self) -> LedgerLayout {
        self.layout
    }

    /// Checks that a key is neither too old nor created in the future.
    pub(crate) fn check_age(&self, key: OperationKey) -> Result<(), KeyAgeError> {
        self.layout.check_age(key, unix_ms())
    }

    /// Records a change; fails when `deadline` passes first.
    pub(crate) async fn change(
        self: &Arc<Self>,
        change: LedgerChange,
        deadline: Instant,
    ) -> Result<ChangeAnswer, LedgerError> {
        let answer = self.submit(change, deadline);
        answer.await.unwrap_or(Err(LedgerError::NotRecorded))
    }

    /// Queues a change. From then on [`Self::flush`] waits for it.
    pub(crate) fn submit(
        self: &Arc<Self>,
        change: LedgerChange,
        deadline: Instant,
    ) -> oneshot::Receiver<Result<ChangeAnswer, LedgerError>> {
        let page_key = self.layout.page_key(change.key());
        let (reply, answer) = oneshot::channel();
        let pending = Pending {
            change,
            deadline,
            attempted: false,
            reply,
        };
        self.unwritten.fetch_add(1, Ordering::SeqCst);
        let starts_writer = {
            let mut queues = self.queues.lock();
            let is_new = !queues.contains_key(&page_key);
            queues.entry(page_key.clone()).or_default().push(pending);
            is_new
        };
        if starts_writer {
            tokio::spawn(self.clone().write_page(page_key));
        }
        answer
    }

    /// Returns the claim that is recorded for a key, if any.
    pub(crate) async fn read(&self, key: OperationKey) -> Result<Option<Claim>, LedgerError> {
        let page_key = self.layout.page_key(key);
        let Some(record) = self.platform.read(&page_key).await? else {
            return Ok(None);
        };
        let page = LedgerPage::parse(&record.value)?;
        Ok(page.find(key).cloned())
    }

    /// Waits until every queued change is written, for `limit` at most.
    pub(crate) async fn flush(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.unwritten.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(FLUSH_POLL_MS)).await;
        }
    }

    /// Writes the changes to one page in batches until none is left.
    async fn write_page(self: Arc<Self>, page_key: ObjectKey) {
        let mut known = None;
        loop {
            tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
            let batch = {
                let mut queues = self.queues.lock();
                let batch = queues
                    .get_mut(&page_key)
                    .map(std::mem::take)
                    .unwrap_or_default();
                if batch.is_empty() {
                    queues.remove(&page_key);
                    return;
                }
                batch
            };
            known = self.write_batch(&page_key, batch, known).await;
        }
    }

    /// Writes one batch and replies to each of its changes exactly once. Returns the page as it is
    /// then known.
    async fn write_batch(
        &self,
        page_key: &ObjectKey,
        mut batch: Vec<Pending>,
        mut known: Option<KnownPage>,
    ) -> Option<KnownPage> {
        let mut is_fresh = false;
        loop {
            batch = self.expire_overdue(batch);
            if batch.is_empty() {
                return known;
            }
            let Some(base) = known.clone() else {
                match self.load(page_key).await {
                    Ok(loaded) => {
                        known = Some(loaded);
                        is_fresh = true;
                    }
                    Err(LedgerError::Page(e)) => {
                        self.reject_all(batch, &e);
                        return None;
                    }
                    Err(_) => {
                        back_off().await;
                        batch.extend(self.take_queued(page_key));
                    }
                }
                continue;
            };
            let changes: Vec<LedgerChange> = batch.iter().map(|p| p.change.clone()).collect();
            let mut page = base.page.clone();
            let answers = page.apply(&changes, &self.layout);
            if page == base.page && !is_fresh {
                known = None;
                continue;
            }
            if page == base.page {
                self.answer_all(batch, answers);
                return known;
            }
            batch.iter_mut().for_each(|p| p.attempted = true);
            let written = self
                .platform
                .write(page_key, base.condition, Some(page.to_text()))
                .await;
            match written {
                Ok(WriteAnswer::Written(version)) => {
                    self.answer_all(batch, answers);
                    return Some(KnownPage {
                        condition: WriteCondition::Version(version),
                        page,
                    });
                }
                Ok(WriteAnswer::Conflict(record)) => match parse_page(record) {
                    Ok(loaded) => {
                        known = Some(loaded);
                        let queued = self.take_queued(page_key);
                        // The page was read before these changes were taken, so it may be out
                        // of date for them.
                        is_fresh = queued.is_empty();
                        batch.extend(queued);
                    }
                    Err(e) => {
                        self.reject_all(batch, &e);
                        return None;
                    }
                },
                Err(_) => {
                    known = None;
                    back_off().await;
                    batch.extend(self.take_queued(page_key));
                }
            }
        }
    }

    /// Takes the changes that were queued while a batch was being written.
    ///
    /// Recording an outcome is retried for as long as an outage lasts. A claim on the same page
    /// joins the batch, so that it does not wait for the outcome beyond its own deadline.
    fn take_queued(&self, page_key: &ObjectKey) -> Vec<Pending> {
        let mut queues = self.queues.lock();
        queues
            .get_mut(page_key)
            .map(std::mem::take)
            .unwrap_or_default()
    }

    async fn load(&self, page_key: &ObjectKey) -> Result<KnownPage, LedgerError> {
        Ok(parse_page(self.platform.read(page_key).await?)?)
    }

    fn expire_overdue(&self, batch: Vec<Pending>) -> Vec<Pending> {
        let now = Instant::now();
        let (overdue, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|p| p.deadline <= now);
        for pending in overdue {
            let error = if pending.attempted {
                LedgerError::Undecided
            } else {
                LedgerError::NotRecorded
            };
            self.answer(pending, Err(error));
        }
        rest
    }

    fn answer_all(&self, batch: Vec<Pending>, answers: Vec<ChangeAnswer>) {
        for (pending, answer) in batch.into_iter().zip(answers) {
            self.answer(pending, Ok(answer));
        }
    }

    fn reject_all(&self, batch: Vec<Pending>, error: &LedgerPageError) {
        spdlog::error!("ledger: {error}");
        for pending in batch {
            self.answer(pending, Err(LedgerError::Page(error.clone())));
        }
    }

    fn answer(&self, pending: Pending, answer: Result<ChangeAnswer, LedgerError>) {
        self.unwritten.fetch_sub(1, Ordering::SeqCst);
        let _ = pending.reply.send(answer);
    }
}

fn parse_page(record: Option<ObjectRecord>) -> Result<KnownPage, LedgerPageError> {
    match record {
        Some(record) => Ok(KnownPage {
            condition: WriteCondition::Version(record.version),
            page: LedgerPage::parse(&record.value)?,
        }),
        None => Ok(KnownPage {
            condition: WriteCondition::Absent,
            page: LedgerPage::default(),
        }),
    }
}

async fn back_off() {
    tokio::time::sleep(Duration::from_millis(BACKOFF_MS)).await;
}

/// Returns the current time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
