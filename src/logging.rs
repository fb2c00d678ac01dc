//! The daemon's log, written with spdlog-rs.
//!
//! Each line begins with the fixed prefix of its component, such as `config:` or `ledger:`;
//! `docs/operators/logs.md` lists the prefixes. Dropshot logs through slog; [`dropshot_logger`]
//! forwards its records with the prefix `http:`.

use slog::Drain;
use spdlog::{Level, LevelFilter};

/// Sets the most verbose level that is written.
pub(crate) fn init(level: Level) {
    spdlog::default_logger().set_level_filter(LevelFilter::MoreSevereEqual(level));
}

/// Returns a slog logger that writes to the daemon's log.
pub(crate) fn dropshot_logger() -> slog::Logger {
    slog::Logger::root(SpdlogDrain.fuse(), slog::o!())
}

/// Forwards slog records to spdlog.
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
