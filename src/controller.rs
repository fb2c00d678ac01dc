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
    supervise(node, "admission", crate::filter::Admission::run);
    supervise(node, "config_poll", config::poll);
    supervise(node, "config_watch", config::run);
    supervise(node, "gossip", gossip::run);
    supervise(node, "hosts", hosts::run);
    supervise(node, "ledger_gc", ledger_gc::run);
    supervise(node, "reports", reports::run);
    let lease = Arc::new(lease::Lease::default());
    let held = lease.clone();
    supervise(node, "lease", move |node| lease::run(node, held.clone()));
    supervise(node, "placement", move |node| {
        placement::run(node, lease.clone())
    });
}

/// Starts a task of this entry, which is started again if it ends.
pub(crate) fn supervise<F>(
    node: &Arc<Node>,
    task: &'static str,
    run: impl Fn(Arc<Node>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let state = node.clone();
    node.tasks.spawn(task, move || run(state.clone()));
}
