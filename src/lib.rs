//! The router daemon and the operators' command-line client.
//!
//! One binary contains both. `pistachioyard entry` and `pistachioyard route` run the daemon; the
//! other subcommands check files or call the entries. `docs/design/overview.md` describes how the
//! parts fit together.

mod answer_buffer;
mod api;
mod burn;
mod cli;
mod client;
mod controller;
mod daemon;
mod engine;
mod entry;
mod error;
mod filter;
mod final_response;
mod ledger;
mod lifecycle;
mod logging;
mod metric;
mod peer_link;
mod platform;
mod prelude;
mod router;
mod service;
mod settings;
mod start;

pub use api::openapi_document;
pub use cli::{Cli, ExitStatus, run};
pub use daemon::Daemon;
pub use settings::{EntrySettings, SettingsError};
