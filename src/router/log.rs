//! Structured log lines on standard output.
//!
//! A bounded queue passes the lines to a writer thread, so that a slow reader of standard
//! output never blocks a request. Lines that arrive while the queue is full are dropped
//! and counted in [`dropped`]. `docs/OPERATIONS.md` lists the lines.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicU64, Ordering};

use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::prelude::*;

/// The maximum number of lines waiting to be written; about one second's worth under load.
const MAX_QUEUED_LINES: usize = 4_096;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Installs the process-wide default logger.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub(crate) fn init() -> Result<(), spdlog::Error> {
    let stdout = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .style_mode(StyleMode::Never)
        .build_arc()?;
    let capacity = NonZeroUsize::new(MAX_QUEUED_LINES).unwrap_or(NonZeroUsize::MIN);
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
        // The sink reports a line that does not fit into the queue as an error.
        .error_handler(|_| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Returns the number of lines dropped since the process started.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes the queued lines before the process exits, for at most `limit`.
///
/// The default logger is replaced first, since spdlog would otherwise wait for its queue
/// without a limit on exit, even for a reader that has stalled.
pub(crate) fn flush(limit: Duration) {
    let silent = match Logger::builder().build_arc() {
        Ok(silent) => silent,
        Err(e) => {
            spdlog::error!("router: cannot flush the log", kv: { why = e.to_string().as_str() });
            return;
        }
    };
    let logger = spdlog::swap_default_logger(silent);
    let (tx, rx) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for sink in logger.sinks() {
            // A failure cannot be logged, since the log itself is being flushed.
            let _ = sink.flush_on_exit();
        }
        // The receiver is gone once the limit has passed.
        let _ = tx.send(());
    });
    // A timeout is ignored, since the process exits either way.
    let _ = rx.recv_timeout(limit);
}

/// Converts a duration to whole milliseconds.
pub(crate) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
