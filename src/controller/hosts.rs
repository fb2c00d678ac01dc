//! Reads the platform's host list, which lags behind the real state.
//!
//! Live entries take turns of one second each, and gossip which endpoints are leaving. Each
//! entry still reads the whole list every few seconds.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::prelude::*;

/// How long a turn lasts, in milliseconds.
const TURN_MS: u64 = 1_000;
/// The maximum number of turns from one read of an entry to its next.
const MAX_TURNS: usize = 3;

/// Reads the host list at this entry's turns, and at every turn until a read succeeds.
pub(crate) async fn run(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TURN_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut has_read = false;
    loop {
        ticks.tick().await;
        if has_read && !is_own_turn(&node) {
            continue;
        }
        match node.platform.hosts().await {
            Ok(hosts) => {
                has_read = true;
                node.fleet.lock().apply_hosts(&hosts, Instant::now());
                node.admission.wake();
            }
            Err(e) => {
                has_read = false;
                spdlog::debug!("hosts: cannot read the host list: {e}");
            }
        }
    }
}

/// Tells whether the current turn is this entry's.
///
/// If clocks differ, the only effect is that entries read at the same time.
fn is_own_turn(node: &Node) -> bool {
    let membership = node.membership.lock();
    let mut live = membership.live(Instant::now());
    live.sort_by_key(|member| &member.entry);
    let own = live
        .iter()
        .position(|member| member.entry == node.settings.entry);
    let turns = live.len().clamp(1, MAX_TURNS);
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let turn = since.map_or(0, |since| since.as_millis() as u64 / TURN_MS);
    turn % turns as u64 == (own.unwrap_or(0) % turns) as u64
}
