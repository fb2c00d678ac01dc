//! Keeps the long-lived tasks of a daemon running.
//!
//! `docs/design/supervised-tasks.md` says what a new start resets.

use std::collections::BTreeSet;
use std::time::Instant;

use metrics::counter;
use parking_lot::Mutex;
use pistachioyard_policy::RestartBackoff;
use tokio::task::{JoinError, JoinHandle};

use crate::prelude::Arc;

/// Starts tasks again that end by themselves, and tells which keep ending.
pub struct Supervisor {
    restarts_metric: &'static str,
    is_stopping: Box<dyn Fn() -> bool + Send + Sync>,
    failing: Mutex<BTreeSet<&'static str>>,
}

impl Supervisor {
    /// Creates a supervisor that counts new starts under a metric's name.
    ///
    /// Tasks may end once `is_stopping` returns true.
    pub fn new(
        restarts_metric: &'static str,
        is_stopping: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            restarts_metric,
            is_stopping: Box::new(is_stopping),
            failing: Mutex::default(),
        })
    }

    /// Starts a task, and starts it again whenever it has returned or panicked.
    pub fn spawn<F>(self: &Arc<Self>, task: &'static str, start: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        counter!(self.restarts_metric, "task" => task).absolute(0);
        tokio::spawn(self.clone().keep_running(task, start));
    }

    /// Returns whether a task keeps ending, so that what it maintains may be stale.
    pub fn has_failing_task(&self) -> bool {
        !self.failing.lock().is_empty()
    }

    async fn keep_running<F>(
        self: Arc<Self>,
        task: &'static str,
        start: impl Fn() -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let mut backoff = RestartBackoff::default();
        loop {
            let started_at = Instant::now();
            let ended = self.run(task, &mut backoff, tokio::spawn(start())).await;
            if (self.is_stopping)() || ended.as_ref().is_err_and(JoinError::is_cancelled) {
                return;
            }
            let ran = started_at.elapsed();
            let delay = backoff.note_end(ran, rand::random());
            if backoff.is_failing() {
                self.failing.lock().insert(task);
            }
            counter!(self.restarts_metric, "task" => task).increment(1);
            spdlog::error!("tasks: ended by itself, starting it again", kv: {
                task, how = if ended.is_err() { "panicked" } else { "returned" },
                ran_ms = ran.as_millis() as u64, ends_in_row = backoff.ends_in_row(),
                after_ms = delay.as_millis() as u64, is_failing = backoff.is_failing()
            });
            tokio::time::sleep(delay).await;
        }
    }

    /// Waits for the end of a run; once it has lasted, the task's earlier ends are forgotten.
    async fn run(
        &self,
        task: &'static str,
        backoff: &mut RestartBackoff,
        mut run: JoinHandle<()>,
    ) -> Result<(), JoinError> {
        let soon = tokio::time::timeout(RestartBackoff::SOUND_RUN, &mut run).await;
        if let Ok(ended) = soon {
            return ended;
        }
        backoff.note_sound();
        if self.failing.lock().remove(task) {
            spdlog::info!("tasks: no longer failing", kv: { task });
        }
        run.await
    }
}
