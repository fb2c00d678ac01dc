//! Logs of the daemon, by spdlog-rs.
//!
//! Each line begins with the fixed prefix of its part, such as `config:` or
//! `ledger:`; `docs/operators/logs.md` lists them. Dropshot logs through slog,
//! which [`dropshot_logger`] passes on with the prefix `http:`.

use slog::Drain;
use spdlog::{Level, LevelFilter};

/// Sets the most verbose level that is written, and flushes every line.
pub(crate) fn init(level: Level) {
    let logger = spdlog::default_logger();
    logger.set_level_filter(LevelFilter::MoreSevereEqual(level));
    logger.set_flush_level_filter(LevelFilter::All);
}

/// Returns a slog logger that writes into the daemon's log.
pub(crate) fn dropshot_logger() -> slog::Logger {
    slog::Logger::root(SpdlogDrain.fuse(), slog::o!())
}

/// Passes slog records on to spdlog.
struct SpdlogDrain;

impl Drain for SpdlogDrain {
    type Err = slog::Never;
    type Ok = ();

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        match record.level() {
            slog::Level::Critical | slog::Level::Error => spdlog::error!("http: {}", record.msg()),
            slog::Level::Warning => spdlog::warn!("http: {}", record.msg()),
            slog::Level::Info | slog::Level::Debug | slog::Level::Trace => {
                spdlog::trace!("http: {}", record.msg());
            }
        }
        Ok(())
    }
}
