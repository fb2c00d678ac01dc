//! Sends this entry's state to its peers and keeps the links to them open.

use crate::prelude::*;

/// How often this entry's state is sent to peers, in milliseconds.
const GOSSIP_INTERVAL_MS: u64 = 200;

/// Discards expired state, dials missing peers and sends gossip at every interval.
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
