//! Structured log lines on standard output.
//!
//! A bounded queue passes the lines to a writer thread, so that a slow reader of standard
//! output never blocks a request. Lines that arrive while the queue is full are dropped
//! and counted in [`dropped`]. `docs/OPERATIONS.md` lists the lines.

mod line_queue;
mod output;

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use spdlog::{LevelFilter, Logger};

use self::line_queue::LineQueue;
use crate::prelude::*;

/// The name of the thread that writes.
const WRITER: &str = "log";
/// How long lines wait at most while there is no thread that writes them, and how long until the
/// next attempt to start it.
const WRITER_RETRY: Duration = Duration::from_millis(500);

/// How long the last lines may take to be written; an active reader takes a few ms.
const FLUSH_LIMIT: Duration = Duration::from_millis(150);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static INSTALLED: OnceLock<Arc<Log>> = OnceLock::new();

/// Writes the process's log.
pub(crate) struct Log {
    queue: Arc<LineQueue>,
    has_writer: AtomicBool,
}

impl Log {
    /// Installs the process-wide default logger, unless it is installed. Its lines are written by
    /// [`Self::write_ready`], and once [`Self::write`] runs.
    pub(crate) fn install() -> Arc<Self> {
        INSTALLED.get_or_init(Self::create).clone()
    }

    fn create() -> Arc<Self> {
        let queue = Arc::new(LineQueue::default());
        let logger = Logger::builder()
            .sink(queue.clone())
            .level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Info))
            .build_arc();
        match logger {
            Ok(logger) => drop(spdlog::swap_default_logger(logger)),
            // The logger that is there before writes to the same place.
            Err(e) => spdlog::error!("router: cannot set up the logger", kv: {
                why = e.to_string().as_str()
            }),
        }
        Arc::new(Self {
            queue,
            has_writer: AtomicBool::new(false),
        })
    }

    /// Starts the thread that writes. As long as the system has none, the lines are written from
    /// here, as far as standard output takes them at once.
    pub(crate) async fn write(self: Arc<Self>) {
        let mut failed_attempts = 0_u64;
        while let Err(e) = self.start_writer() {
            if failed_attempts == 0 {
                spdlog::warn!("router: no thread for the log", kv: {
                    why = e.to_string().as_str(), retry_ms = ms(WRITER_RETRY)
                });
            }
            failed_attempts += 1;
            self.write_ready();
            tokio::time::sleep(WRITER_RETRY).await;
        }
        if failed_attempts > 0 {
            spdlog::info!("router: log has its thread", kv: { failed_attempts });
        }
    }

    /// Writes the lines that standard output takes at once, as long as there is no thread for them.
    pub(crate) fn write_ready(&self) {
        self.queue.write_until(Instant::now());
    }

    fn start_writer(&self) -> std::io::Result<()> {
        let queue = self.queue.clone();
        let writer = std::thread::Builder::new().name(WRITER.to_owned());
        writer.spawn(move || queue.write_forever())?;
        self.has_writer.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Writes the queued lines before the process exits, as far as the reader takes them soon.
    pub(crate) fn flush(&self) {
        let until = Instant::now() + FLUSH_LIMIT;
        match self.has_writer.load(Ordering::Relaxed) {
            true => self.queue.wait_until_empty(until),
            false => self.queue.write_until(until),
        }
    }
}

/// Returns the number of lines dropped since the process started.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn count_dropped() {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// Converts a duration to whole milliseconds.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
