//! Stand-ins of the operators' platform as the router meets it there: the store and
//! the workers, with just what the router's tests and the soak need.
//!
//! They speak the platform's wire format on their own, so that a slip in the
//! router's adapter shows.

mod http;
mod store;
mod worker;

pub use store::{SiteStoreArgs, run_site_store};
pub use worker::{SiteWorkerArgs, run_site_worker};
