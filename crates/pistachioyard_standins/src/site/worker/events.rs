//! The events of a stream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::Worker;
use super::path::{PASS_PATH, check_path};

/// The interval between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// The maximum time that a request stalls before it fails.
pub(super) const STALL_LIMIT: Duration = Duration::from_millis(2_500);
/// The interval at which a stalled request checks its path again.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the data of event `n` of a request, which is the same on every worker.
pub(super) fn answer_line(id: &str, n: u64) -> String {
    format!("{:016x}", xxh3_64(format!("{id}/{n}").as_bytes()))
}

/// Produces the events of a running stream.
pub(super) struct Events {
    pub(super) worker: Arc<Worker>,
    pub(super) id: String,
    /// The id of the next event.
    pub(super) next: u64,
}

impl Drop for Events {
    fn drop(&mut self) {
        let mut state = self.worker.state.lock();
        state.paths.remove(&self.id);
        state.stalled.remove(&self.id);
    }
}

impl Events {
    /// Returns the next event once every stage of the path holds its layers.
    pub(super) async fn next(&mut self) -> std::io::Result<Option<Bytes>> {
        if self.next >= self.worker.args.events {
            return Ok(None);
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
        self.wait_for_path().await?;
        let n = self.next;
        self.next += 1;
        Ok(Some(
            format!("id: {n}\ndata: {}\n\n", answer_line(&self.id, n)).into(),
        ))
    }

    async fn wait_for_path(&self) -> std::io::Result<()> {
        let since = Instant::now();
        while since.elapsed() < STALL_LIMIT {
            let path = self.worker.state.lock().paths.get(&self.id).cloned();
            let checked = check_path(&self.worker, &path.unwrap_or_default(), PASS_PATH).await;
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
