//! How long news of the load takes.

use std::time::Duration;

use crate::membership::LOAD_FANOUT;

/// Says how long it takes until an entry has heard of a change of the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NewsTime {
    /// The gossip rounds until all have heard.
    pub(super) rounds: u32,
    period: Duration,
}

impl NewsTime {
    /// Creates the time for an entry with a number of peers in its data centre, which may hear from
    /// every other entry in each round.
    pub fn new(period: Duration, near_peers: usize, hears_all: bool) -> Self {
        let near = near_peers.div_ceil(LOAD_FANOUT).max(1);
        let rounds = u32::try_from(near).unwrap_or(u32::MAX);
        Self {
            // The sums of other data centres take a round more.
            rounds: rounds.saturating_add(u32::from(!hears_all)),
            period,
        }
    }

    /// Returns the mean age of what an entry has heard.
    pub(super) fn mean(self) -> Duration {
        self.period.saturating_mul(self.rounds) / 2
    }
}
