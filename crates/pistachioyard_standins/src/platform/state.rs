//! The shared state of the platform stand-in's handlers.

use std::time::{Duration, Instant};

use dropshot::HttpError;
use parking_lot::Mutex;
use pistachioyard_wire::{HostRecord, ObjectKey, ObjectWrite, WatchPage, WriteAnswer};
use tokio::sync::watch;

use super::control::{CallCounts, PlatformFaults};
use super::store::Store;

/// The maximum time that a watch waits, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// Identifies a kind of call that is counted.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallKind {
    Hosts,
    List,
    Read,
    Watch,
    Write,
}

/// Holds the answer to a write, and whether a fault drops it.
#[derive(Debug)]
pub(crate) struct WriteResult {
    pub(crate) answer: WriteAnswer,
    pub(crate) is_answer_lost: bool,
}

#[derive(Debug, Default)]
struct Inner {
    counts: CallCounts,
    faults: PlatformFaults,
    host_lists: Vec<(Instant, Vec<HostRecord>)>,
    store: Store,
}

/// Holds the state of the platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformState {
    inner: Mutex<Inner>,
    /// Notifies waiting watches of each change of the objects or faults.
    changes: watch::Sender<()>,
}

impl PlatformState {
    pub(crate) fn new() -> Self {
        Self {
            inner: Mutex::default(),
            changes: watch::Sender::new(()),
        }
    }

    /// Counts and delays a call, and refuses it while the platform is down.
    pub(crate) async fn begin_call(&self, kind: CallKind) -> Result<(), HttpError> {
        let slow_ms = {
            let mut inner = self.inner.lock();
            let counts = &mut inner.counts;
            match kind {
                CallKind::Hosts => counts.hosts += 1,
                CallKind::List => counts.lists += 1,
                CallKind::Read => counts.reads += 1,
                CallKind::Watch => counts.watches += 1,
                CallKind::Write => counts.writes += 1,
            }
            inner.faults.slow_ms
        };
        sleep_ms(slow_ms).await;
        self.refuse_when_down()
    }

    /// Counts a write under its parent key, which is the key without its last segment.
    pub(crate) fn count_write_under(&self, key: &ObjectKey) {
        let parent = key.0.rsplit_once('/').map_or("", |(parent, _)| parent);
        let mut inner = self.inner.lock();
        let counts = &mut inner.counts.writes_under;
        *counts.entry(parent.to_owned()).or_default() += 1;
    }

    fn refuse_when_down(&self) -> Result<(), HttpError> {
        let mut inner = self.inner.lock();
        if !inner.faults.down {
            return Ok(());
        }
        inner.counts.refused += 1;
        let why = "the platform stand-in is down; set the fault `down` to false".to_owned();
        Err(HttpError::for_unavail(None, why))
    }

    /// Writes after the delay in force; a write whose answer is lost stays in effect.
    pub(crate) async fn write(
        &self,
        key: ObjectKey,
        write: ObjectWrite,
    ) -> Result<WriteResult, HttpError> {
        let delay_ms = self.inner.lock().faults.delay_writes_ms;
        sleep_ms(delay_ms).await;
        self.refuse_when_down()?;
        let result = self.write_now(key, write);
        self.changes.send_replace(());
        Ok(result)
    }

    fn write_now(&self, key: ObjectKey, write: ObjectWrite) -> WriteResult {
        let mut inner = self.inner.lock();
        let answer = inner.store.write(key, write);
        let is_answer_lost = match answer {
            WriteAnswer::Written(_) if inner.faults.lose_answers > 0 => {
                inner.faults.lose_answers -= 1;
                true
            }
            WriteAnswer::Written(_) => false,
            WriteAnswer::Conflict(_) => {
                inner.counts.conflicts += 1;
                false
            }
        };
        WriteResult {
            answer,
            is_answer_lost,
        }
    }

    /// Waits up to `wait_ms` until an object under the prefix has a version above `after`.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait_ms: u64,
    ) -> Result<WatchPage, HttpError> {
        let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let deadline = tokio::time::Instant::now() + wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            self.refuse_when_down()?;
            let page = self.with_store(|store| store.changed(prefix, after));
            if !page.changed.is_empty() {
                return Ok(page);
            }
            let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
            if changed.is_err() {
                return Ok(self.with_store(|store| store.changed(prefix, after)));
            }
        }
    }

    pub(crate) fn with_store<T>(&self, read: impl FnOnce(&Store) -> T) -> T {
        read(&self.inner.lock().store)
    }

    /// Returns the latest host list that is at least as old as the lag in force.
    pub(crate) fn hosts(&self) -> Vec<HostRecord> {
        let inner = self.inner.lock();
        let lag = Duration::from_millis(inner.faults.host_lag_ms);
        inner
            .host_lists
            .iter()
            .rev()
            .find(|(set_at, _)| set_at.elapsed() >= lag)
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default()
    }

    pub(crate) fn set_hosts(&self, hosts: Vec<HostRecord>) {
        let set_at = Instant::now();
        self.inner.lock().host_lists.push((set_at, hosts));
    }

    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.inner.lock().faults = faults;
        self.changes.send_replace(());
    }

    pub(crate) fn counts(&self) -> CallCounts {
        self.inner.lock().counts.clone()
    }
}

async fn sleep_ms(ms: u64) {
    if ms > 0 {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
