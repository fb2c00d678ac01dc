//! The claim ledger over the platform's object API.
//!
//! Changes to one page are gathered for a few milliseconds into one conditional
//! write. A write whose answer was lost is settled by reading back and applying
//! the same changes again (`docs/design/claim-ledger.md`).

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

/// How long changes to a page are gathered into one write, in milliseconds.
const GATHER_MS: u64 = 3;
/// The pause after a failed call to the platform, in milliseconds.
const BACKOFF_MS: u64 = 50;
/// How often a flush looks whether changes are still to be written, in milliseconds.
const FLUSH_POLL_MS: u64 = 20;

/// Why a change was not recorded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LedgerError {
    /// The platform did not take the change in time; it was never sent.
    #[error("the platform did not answer")]
    NotRecorded,
    /// The change was sent and the platform's answer was lost.
    #[error("the platform's answer was lost")]
    Undecided,
    /// The page cannot be read.
    #[error(transparent)]
    Page(#[from] LedgerPageError),
    /// The platform did not answer a read.
    #[error(transparent)]
    Read(#[from] CallError),
}

/// A change that waits to be written.
struct Pending {
    change: LedgerChange,
    deadline: Instant,
    attempted: bool,
    reply: oneshot::Sender<Result<ChangeAnswer, LedgerError>>,
}

/// A page as last seen.
#[derive(Clone)]
struct KnownPage {
    condition: WriteCondition,
    page: LedgerPage,
}

/// Records claims and outcomes of operations.
pub(crate) struct Ledger {
    platform: Arc<Platform>,
    shape: LedgerLayout,
    queues: Mutex<HashMap<ObjectKey, Vec<Pending>>>,
    unwritten: AtomicUsize,
    sent: Mutex<SentKeys>,
}

impl Ledger {
    /// Makes a ledger over the platform.
    pub(crate) fn new(platform: Arc<Platform>) -> Self {
        Self {
            platform,
            shape: LedgerLayout::default(),
            queues: Mutex::new(HashMap::new()),
            unwritten: AtomicUsize::new(0),
            sent: Mutex::default(),
        }
    }

    /// Notes that a call with the key is about to be sent.
    pub(crate) fn note_sent(&self, key: OperationKey) {
        self.sent.lock().insert(key);
    }

    /// Tells whether this process has sent a call with the key.
    pub(crate) fn was_sent(&self, key: OperationKey) -> bool {
        self.sent.lock().contains(key)
    }

    /// Returns how keys are laid out over pages.
    pub(crate) fn shape(&self) -> LedgerLayout {
        self.shape
    }

    /// Checks that a key is neither too old nor from the future.
    pub(crate) fn check_age(&self, key: OperationKey) -> Result<(), KeyAgeError> {
        self.shape.check_age(key, unix_ms())
    }

    /// Records a change, or fails once `deadline` has passed.
    pub(crate) async fn change(
        self: &Arc<Self>,
        change: LedgerChange,
        deadline: Instant,
    ) -> Result<ChangeAnswer, LedgerError> {
        let answer = self.submit(change, deadline);
        answer.await.unwrap_or(Err(LedgerError::NotRecorded))
    }

    /// Queues a change; from now on [`Self::flush`] waits for it.
    pub(crate) fn submit(
        self: &Arc<Self>,
        change: LedgerChange,
        deadline: Instant,
    ) -> oneshot::Receiver<Result<ChangeAnswer, LedgerError>> {
        let page_key = self.shape.page_key(change.key());
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

    /// Reads what is recorded of a key.
    pub(crate) async fn read(&self, key: OperationKey) -> Result<Option<Claim>, LedgerError> {
        let page_key = self.shape.page_key(key);
        let Some(record) = self.platform.read(&page_key).await? else {
            return Ok(None);
        };
        let page = LedgerPage::parse(&record.value)?;
        Ok(page.find(key).cloned())
    }

    /// Waits until every change is written, at most for `limit`.
    pub(crate) async fn flush(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while self.unwritten.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(FLUSH_POLL_MS)).await;
        }
    }

    /// Writes the changes of one page until none is left.
    async fn write_page(self: Arc<Self>, page_key: ObjectKey) {
        let mut known = None;
        loop {
            tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
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

    /// Writes one batch and answers each of its changes exactly once.
    async fn write_batch(
        &self,
        page_key: &ObjectKey,
        mut batch: Vec<Pending>,
        mut known: Option<KnownPage>,
    ) -> Option<KnownPage> {
        let mut is_fresh = false;
        loop {
            batch = self.give_up_late(batch);
            if batch.is_empty() {
                return known;
            }
            let Some(base) = known.clone() else {
                match self.load(page_key).await {
                    Ok(loaded) => {
                        known = Some(loaded);
                        is_fresh = true;
                    }
                    Err(LedgerError::Page(fault)) => {
                        self.fail_all(batch, &fault);
                        return None;
                    }
                    Err(_) => {
                        pause().await;
                        batch.extend(self.take_queued(page_key));
                    }
                }
                continue;
            };
            let changes: Vec<LedgerChange> = batch.iter().map(|p| p.change.clone()).collect();
            let mut page = base.page.clone();
            let answers = page.apply(&changes, &self.shape);
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
                        // The page was read before these were asked for.
                        is_fresh = queued.is_empty();
                        batch.extend(queued);
                    }
                    Err(fault) => {
                        self.fail_all(batch, &fault);
                        return None;
                    }
                },
                Err(_) => {
                    known = None;
                    pause().await;
                    batch.extend(self.take_queued(page_key));
                }
            }
        }
    }

    /// Takes the changes that were queued while a batch is being written.
    ///
    /// An outcome is tried to be recorded for as long as an outage lasts. A claim
    /// on the same page must not wait for it beyond its own deadline.
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

    fn give_up_late(&self, batch: Vec<Pending>) -> Vec<Pending> {
        let now = Instant::now();
        let (late, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(|p| p.deadline <= now);
        for pending in late {
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

    fn fail_all(&self, batch: Vec<Pending>, fault: &LedgerPageError) {
        spdlog::error!("ledger: {fault}");
        for pending in batch {
            self.answer(pending, Err(LedgerError::Page(fault.clone())));
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

async fn pause() {
    tokio::time::sleep(Duration::from_millis(BACKOFF_MS)).await;
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
