//! Runs the controllers, background tasks that keep the entry's state up to date.
//!
//! Each controller is a loop that continues after any failure. Requests in progress do not
//! depend on them.

mod config;
mod gossip;
mod hosts;
mod lease;
mod ledger_gc;
mod orders;
mod placement;
mod reports;

pub(crate) use config::{adopt_from_peer, apply};
pub(crate) use reports::PendingReports;

use crate::prelude::*;

/// Starts all controllers.
pub(crate) fn start(node: &Arc<Node>) {
    tokio::spawn(config::run(node.clone()));
    tokio::spawn(config::poll(node.clone()));
    tokio::spawn(gossip::run(node.clone()));
    tokio::spawn(hosts::run(node.clone()));
    tokio::spawn(ledger_gc::run(node.clone()));
    tokio::spawn(reports::run(node.clone()));
    let lease = Arc::new(lease::Lease::default());
    tokio::spawn(lease::run(node.clone(), lease.clone()));
    tokio::spawn(placement::run(node.clone(), lease));
    tokio::spawn(crate::filter::Admission::run(node.clone()));
}
