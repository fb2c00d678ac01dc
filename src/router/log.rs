//! Structured log lines on standard output.
//!
//! Lines pass a bounded queue to a thread of their own, so that a slow reader of
//! standard output never holds up a request. Lines that find the queue full are
//! dropped and counted in [`dropped`]. `docs/OPERATIONS.md` lists the lines.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};

use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::prelude::*;

/// The lines that may wait to be written; a second's worth at a busy entry.
const QUEUED_LINES: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Makes the log the default one of the process.
///
/// # Errors
///
/// Fails when the thread that writes cannot be started.
pub(crate) fn init() -> Result<(), spdlog::Error> {
    let stdout = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .style_mode(StyleMode::Never)
        .build_arc()?;
    let capacity = NonZeroUsize::new(QUEUED_LINES).unwrap_or(NonZeroUsize::MIN);
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(stdout)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Info))
        .flush_level_filter(LevelFilter::MoreSevereEqual(spdlog::Level::Warn))
        // The queue hands a line that does not fit back to the logger.
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Returns the number of lines that were dropped since the start.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes what is still queued at the end of the process, for as long as `limit`.
///
/// The logger is taken out first, since the library would wait for its queue without a
/// limit when the process exits, also for a reader that stands still.
pub(crate) fn finish(limit: Duration) {
    let silent = match Logger::builder().build_arc() {
        Ok(silent) => silent,
        Err(e) => {
            spdlog::error!("router: the log is not flushed", kv: { why = e.to_string().as_str() });
            return;
        }
    };
    let logger = spdlog::swap_default_logger(silent);
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for sink in logger.sinks() {
            // Where the last lines were lost there is nowhere left to say so.
            let _ = sink.flush_on_exit();
        }
        // Nobody waits any more once the limit has passed.
        let _ = tx.send(());
    });
    // Either way the process ends now.
    let _ = rx.recv_timeout(limit);
}

/// Shows a duration in whole milliseconds.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
