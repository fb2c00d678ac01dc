//! Stand-ins for the operators' platform: its object store and its workers, limited to
//! what the router's integration and soak tests need.
//!
//! They implement the platform's wire format separately, so that tests detect mistakes
//! in the router's adapter.

mod http;
mod store;
mod worker;

pub use store::{SiteStoreArgs, run_site_store};
pub use worker::{SiteWorkerArgs, run_site_worker};
