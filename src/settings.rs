//! The settings of an entry process.
//!
//! Raw settings come from TOML; [`EntrySettings`] are checked. Every fault is
//! reported at once, so that an operator mends a file in one go. The keys are
//! described in `docs/operators/settings.md`.

mod fault;
mod raw;

use std::net::SocketAddr;
use std::path::Path;

pub use fault::SettingsFault;
use pistachioyard_policy::ChoicePolicy;
use raw::RawSettings;

use crate::prelude::*;

/// Checked settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The entry's name.
    pub(crate) entry: EntryId,
    /// The data centre it stands in.
    pub(crate) data_centre: DataCentre,
    /// Where it listens for callers.
    pub(crate) caller_address: SocketAddr,
    /// Where it listens for peers.
    pub(crate) peer_address: SocketAddr,
    /// The caller address that it tells others.
    pub(crate) advertised_caller_address: SocketAddr,
    /// The peer address that it tells others.
    pub(crate) advertised_peer_address: SocketAddr,
    /// Where the platform answers.
    pub(crate) platform: SocketAddr,
    /// Peers to begin with.
    pub(crate) peers: Vec<SocketAddr>,
    /// How long the answer of `/v1/entries` may be kept.
    pub(crate) entries_valid: Duration,
    /// How long a stop waits for requests in progress.
    pub(crate) drain_limit: Duration,
    /// The time in which an accepted configuration is in force everywhere.
    pub(crate) in_force: Duration,
    /// How chains are chosen.
    pub(crate) choice: ChoicePolicy,
    /// The most verbose log level that is written.
    pub(crate) log_level: spdlog::Level,
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsFault>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![SettingsFault::Unreadable {
                path: path.display().to_string(),
                why: e.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Reads and checks settings from TOML.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsFault>> {
        let table: toml::Table = toml::from_str(text).map_err(|e| {
            vec![SettingsFault::Syntax {
                message: e.to_string(),
            }]
        })?;
        Self::try_from(RawSettings(table))
    }
}
