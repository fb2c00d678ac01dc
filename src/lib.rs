//! The router daemon and the operators' command-line client.
//!
//! One binary contains both. `pistachioyard entry` and `pistachioyard route` run the daemon; the
//! other subcommands check files or call the entries. `docs/design/overview.md` describes how the
//! parts fit together.

#[cfg(feature = "entry")]
mod api;
#[cfg(feature = "entry")]
mod burn;
mod cli;
mod client;
#[cfg(feature = "entry")]
mod controller;
mod daemon;
#[cfg(feature = "entry")]
mod engine;
#[cfg(feature = "entry")]
mod entry;
mod error;
#[cfg(feature = "entry")]
mod filter;
mod final_response;
mod interim_limit;
#[cfg(feature = "entry")]
mod ledger;
mod lifecycle;
#[cfg(feature = "entry")]
mod logging;
mod memory;
#[cfg(feature = "entry")]
mod metric;
mod metrics_upkeep;
mod outgoing;
mod pace;
mod panic_hook;
#[cfg(feature = "entry")]
mod peer_link;
#[cfg(feature = "entry")]
mod platform;
mod prelude;
mod router;
#[cfg(feature = "entry")]
mod service;
#[cfg(feature = "entry")]
mod settings;
mod shortage;
mod start;
mod supervisor;

#[cfg(feature = "entry")]
pub use api::openapi_document;
pub use cli::{Cli, ExitStatus, run};
pub use daemon::{Daemon, StoppedEarly};
#[cfg(feature = "entry")]
pub use settings::{EntrySettings, SettingsError};
pub use supervisor::Supervisor;
