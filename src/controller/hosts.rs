//! Reads the platform's host list, which lags.

use crate::prelude::*;

/// How often the host list is read, in milliseconds.
const HOSTS_INTERVAL_MS: u64 = 1_000;

/// Reads the host list for ever.
pub(crate) async fn run(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(HOSTS_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match node.platform.hosts().await {
            Ok(hosts) => {
                node.fleet.lock().apply_hosts(&hosts, Instant::now());
                node.admission.wake();
            }
            Err(e) => spdlog::debug!("hosts: cannot read the host list: {e}"),
        }
    }
}
