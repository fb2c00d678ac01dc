//! Tells peers this entry's state at every interval and keeps links to them.

use crate::prelude::*;

/// How often peers are told this entry's state, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 200;

/// Gossips for ever.
pub(crate) async fn run(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(GOSSIP_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        node.expire(Instant::now());
        node.peers.dial_missing(&node);
        node.peers.push_gossip(&node);
    }
}
