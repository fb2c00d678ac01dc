//! The events of one request's stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Bytes;

use super::answer::{Ending, padded};
use super::stages::{PASS_PATH, check_path};
use super::{Worker, answer_line};

/// The maximum time that a request stalls before it fails.
const STALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The interval at which a stalled request checks its path again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between two bytes of a stream that drips.
const DRIP_INTERVAL: Duration = Duration::from_millis(50);

/// Produces the events of a stream, each once its path is complete.
pub(super) struct Events {
    worker: Arc<Worker>,
    id: String,
    next: u64,
    /// The length to which the data of each event is padded.
    padded_len: usize,
    /// The event in whose middle the stream ends, if any.
    breaks_in: Option<u64>,
    /// The event from which on only single bytes are sent, if any.
    drips_from: Option<u64>,
}

impl Drop for Events {
    fn drop(&mut self) {
        let mut state = self.worker.state.lock();
        state.paths.remove(&self.id);
        state.stalled.remove(&self.id);
    }
}

impl Events {
    /// Creates the events that follow event `last`.
    pub(super) fn new(
        worker: Arc<Worker>,
        id: &str,
        last: Option<u64>,
        padded_len: usize,
        ending: Ending,
    ) -> Self {
        let breaks = ending == Ending::InsideEvent && last.is_none();
        let drips = ending == Ending::Drip && last.is_none();
        Self {
            id: id.to_owned(),
            next: last.map_or(0, |last| last + 1),
            padded_len,
            breaks_in: breaks.then_some(worker.args.events / 2),
            drips_from: drips.then_some(worker.args.events / 2),
            worker,
        }
    }

    /// Returns the next event once every stage of the path holds its layers.
    pub(super) async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        if self.next >= self.worker.args.events {
            return Ok(None);
        }
        if self.drips_from == Some(self.next) {
            tokio::time::sleep(DRIP_INTERVAL).await;
            return Ok(Some(Bytes::from_static(b":")));
        }
        tokio::time::sleep(Duration::from_millis(self.worker.args.event_interval_ms)).await;
        self.wait_for_path().await?;
        let n = self.next;
        self.next += 1;
        if self.breaks_in.is_some_and(|last| n > last) {
            return Ok(None);
        }
        let data = padded(answer_line(&self.id, n), self.padded_len);
        let mut event = format!("id: {n}\ndata: {data}\n\n");
        if self.breaks_in == Some(n) {
            event.truncate(event.len() / 2);
        }
        Ok(Some(event.into()))
    }

    async fn wait_for_path(&self) -> std::io::Result<()> {
        let since = Instant::now();
        while since.elapsed() < STALL_LIMIT {
            let path = self.worker.state.lock().paths.get(&self.id).cloned();
            let path = path.unwrap_or_default();
            let checked = check_path(&self.worker, &path, PASS_PATH).await;
            match checked {
                Ok(()) => {
                    self.worker.state.lock().stalled.remove(&self.id);
                    return Ok(());
                }
                Err(Some((_, at))) => {
                    let stalled = &mut self.worker.state.lock().stalled;
                    stalled.insert(self.id.clone(), at);
                }
                Err(None) => break,
            }
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
        }
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}
