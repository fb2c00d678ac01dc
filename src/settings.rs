//! The settings of an entry process.
//!
//! [`EntrySettings`] holds the validated form of the TOML file. All errors of a file are reported
//! together, so that an operator can correct them in one go. `docs/operators/settings.md`
//! describes the keys.

mod error;
mod raw;

use std::net::SocketAddr;
use std::path::Path;

pub use error::SettingsError;
use pistachioyard_platform::read_settings_file;
use pistachioyard_policy::ChoicePolicy;
use raw::RawSettings;

use crate::prelude::*;

/// Holds the validated settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The entry's name.
    pub(crate) entry: EntryId,
    /// The data centre that the entry runs in.
    pub(crate) data_centre: DataCentre,
    /// The address on which it listens for callers.
    pub(crate) caller_address: SocketAddr,
    /// The address on which it listens for peers.
    pub(crate) peer_address: SocketAddr,
    /// The caller address that it advertises.
    pub(crate) advertised_caller_address: SocketAddr,
    /// The peer address that it advertises.
    pub(crate) advertised_peer_address: SocketAddr,
    /// The address of the platform.
    pub(crate) platform: SocketAddr,
    /// The initial peers, from which it learns of the others.
    pub(crate) peers: Vec<SocketAddr>,
    /// How long callers may cache the response of `/v1/entries`.
    pub(crate) entries_valid: Duration,
    /// How long shutdown waits for requests in progress.
    pub(crate) drain_limit: Duration,
    /// The time within which an accepted configuration is in force everywhere.
    pub(crate) in_force: Duration,
    /// The policy by which chains are selected.
    pub(crate) choice: ChoicePolicy,
    /// The most verbose log level that is written.
    pub(crate) log_level: spdlog::Level,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub fn load(path: &Path) -> Result<Self, Vec<SettingsError>> {
        let text = read_settings_file(path).map_err(|e| {
            vec![SettingsError::Unreadable {
                path: path.display().to_string(),
                why: e.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Parses and validates settings in TOML.
    ///
    /// # Errors
    ///
    /// Returns all errors that were found.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsError>> {
        let table: toml::Table = toml::from_str(text).map_err(|e| {
            vec![SettingsError::Syntax {
                message: e.to_string(),
            }]
        })?;
        Self::try_from(RawSettings(table))
    }
}
