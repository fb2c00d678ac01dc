//! The configuration file and the protocol between operators and entries.
//!
//! - `POST /v1/config` takes an [`ApplyRequest`] and returns an [`ApplyAnswer`].
//! - `GET /v1/config` returns the [`AcceptedConfig`] in force at the entry.
//! - `GET /v1/status` returns a [`ForceStatus`].
//! - `GET /v1/burn` returns an [`EntryBurn`].

mod burn;
mod config;
mod config_file;
mod status;

pub use burn::{EntryBurn, LevelCounts, WindowCount};
pub use config::{
    CallPolicy, Config, ConfigError, ModelPolicy, Objective, Priority, ServiceLevel, ServicePolicy,
    WorkspacePolicy,
};
pub use config_file::ConfigFile;
pub use status::{AcceptedConfig, ApplyAnswer, ApplyRequest, EntryStatus, ForceStatus};
