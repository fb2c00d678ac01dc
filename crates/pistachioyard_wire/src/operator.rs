//! The operators' file and what operators exchange with an entry.
//!
//! - `POST /v1/config` takes an [`ApplyRequest`] and answers an [`ApplyAnswer`].
//! - `GET /v1/config` answers the [`AcceptedConfig`] in force at the entry.
//! - `GET /v1/status` answers a [`ForceStatus`].
//! - `GET /v1/burn` answers an [`EntryBurn`].

mod burn;
mod config;
mod config_file;
mod status;

pub use burn::{EntryBurn, LevelCounts, WindowCount};
pub use config::{
    CallPolicy, Config, ConfigFault, ModelPolicy, Objective, Priority, ServiceLevel, ServicePolicy,
    WorkspacePolicy,
};
pub use config_file::ConfigFile;
pub use status::{AcceptedConfig, ApplyAnswer, ApplyRequest, EntryStatus, ForceStatus};
