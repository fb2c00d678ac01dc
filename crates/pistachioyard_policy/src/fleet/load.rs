//! Streams in flight at one endpoint, and the estimate of its work.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pistachioyard_wire::EntryId;

/// How far a report's load may lag behind the time it was measured at.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// The most samples kept of one peer.
const MAX_PEER_SAMPLES: usize = 32;
/// The most ends kept since the last report.
const MAX_ENDS: usize = 1_024;

/// How long it takes until every entry knows what the others have begun.
const PEER_LAG: Duration = Duration::from_millis(300);

/// One count of a peer's streams in flight.
#[derive(Clone, Copy, Debug)]
struct PeerSample {
    at: Instant,
    count: u32,
}

/// What this entry and its peers have in flight at one endpoint.
#[derive(Debug, Default)]
pub(super) struct Load {
    begun: u64,
    begins: VecDeque<Instant>,
    ends: VecDeque<Instant>,
    recent_ends: VecDeque<Instant>,
    peers: BTreeMap<EntryId, VecDeque<PeerSample>>,
}

impl Load {
    /// Counts one more own stream.
    pub(super) fn begin(&mut self, now: Instant) {
        self.begun += 1;
        self.begins.push_back(now);
    }

    /// Ends one own stream, taken to be the oldest, which a report at
    /// `measured_at` may count still.
    pub(super) fn end(&mut self, measured_at: Option<Instant>, now: Instant) {
        let Some(begun) = self.begins.pop_front() else {
            return;
        };
        self.recent_ends.retain(|at| *at + PEER_LAG > now);
        self.recent_ends.push_back(now);
        let reported = measured_at.is_some_and(|at| is_in_report(begun, at));
        if reported && self.ends.len() < MAX_ENDS {
            self.ends.push_back(now);
        }
    }

    /// Drops what a report measured at this time has made needless.
    pub(super) fn note_report(&mut self, measured_at: Instant) {
        self.ends.retain(|at| !is_in_report(*at, measured_at));
    }

    /// Takes over a peer's count.
    pub(super) fn set_peer(&mut self, peer: &EntryId, count: u32, now: Instant) {
        if count == 0 && !self.peers.contains_key(peer) {
            return;
        }
        let samples = self.peers.entry(peer.clone()).or_default();
        if samples.len() == MAX_PEER_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(PeerSample { at: now, count });
    }

    /// Forgets a peer's counts.
    pub(super) fn forget_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Returns this entry's streams in flight.
    pub(super) fn own(&self) -> u32 {
        count(self.begins.len())
    }

    /// Returns the number of own streams begun so far, ended ones included.
    pub(super) fn begun(&self) -> u64 {
        self.begun
    }

    /// Returns by how much the own streams grew within the time in which peers
    /// cannot know of it.
    pub(super) fn recent_growth(&self, now: Instant) -> u32 {
        let is_recent = |at: &&Instant| **at + PEER_LAG > now;
        let begun = self.begins.iter().rev().take_while(is_recent).count();
        let ended = self.recent_ends.iter().rev().take_while(is_recent).count();
        count(begun.saturating_sub(ended))
    }

    /// Returns the peers' streams in flight.
    pub(super) fn peers(&self) -> u32 {
        self.peers
            .values()
            .filter_map(|samples| samples.back())
            .map(|sample| sample.count)
            .fold(0, u32::saturating_add)
    }

    /// Estimates the endpoint's streams, running and waiting.
    ///
    /// The report counts what had begun before it was measured, less the lag; what
    /// began later is added and what ended later is taken off, at the peers as
    /// here. What is known to be in flight bounds the estimate from below.
    pub(super) fn estimate(&self, reported: Option<(u32, Instant)>) -> u32 {
        let known = self.own().saturating_add(self.peers());
        let Some((work, measured_at)) = reported else {
            return known;
        };
        let begun = self
            .begins
            .iter()
            .rev()
            .take_while(|at| !is_in_report(**at, measured_at))
            .count();
        let at_peers = self
            .peers
            .values()
            .map(|samples| growth_since(samples, measured_at))
            .fold(0, i64::saturating_add);
        let own = count(begun);
        let estimate = i64::from(work) - i64::from(count(self.ends.len())) + i64::from(own);
        let estimate = estimate.saturating_add(at_peers).max(0);
        u32::try_from(estimate).unwrap_or(u32::MAX).max(known)
    }
}

/// Tells whether a report measured at one time counts what happened at another.
fn is_in_report(happened: Instant, measured_at: Instant) -> bool {
    happened + REPORT_LAG <= measured_at
}

/// Returns by how much a peer's count grew since the report was measured; less
/// than 0 where it fell.
fn growth_since(samples: &VecDeque<PeerSample>, measured_at: Instant) -> i64 {
    let base = samples
        .iter()
        .rev()
        .find(|sample| is_in_report(sample.at, measured_at))
        .or(samples.front());
    match (base, samples.back()) {
        (Some(base), Some(newest)) => i64::from(newest.count) - i64::from(base.count),
        _ => 0,
    }
}

/// Returns a length as a count of streams.
fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
