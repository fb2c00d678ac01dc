//! The router daemon and the operators' client.
//!
//! One binary serves both: `pistachioyard entry` is the daemon on each entry host,
//! every other subcommand talks to the entries. `docs/design/overview.md` shows
//! how the parts fit together.

mod api;
mod burn;
mod cli;
mod client;
mod controller;
mod engine;
mod entry;
mod error;
mod filter;
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

pub use api::openapi_document;
pub use cli::{Cli, ExitStatus, run};
pub use settings::{EntrySettings, SettingsFault};
