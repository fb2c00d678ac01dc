//! Streams in flight on one endpoint, and the estimate of its load.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pistachioyard_wire::EntryId;

/// How far the load in a report may lag behind its measurement time.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// The maximum number of samples kept per peer.
const MAX_PEER_SAMPLES: usize = 32;
/// The maximum number of ended streams kept since the last report.
const MAX_ENDS: usize = 1_024;

/// How long it takes until every entry knows which streams the others have started.
const PEER_LAG: Duration = Duration::from_millis(300);

/// A sample of a peer's streams in flight.
#[derive(Clone, Copy, Debug)]
struct PeerSample {
    at: Instant,
    count: u32,
}

/// The streams that this entry and its peers have in flight on one endpoint.
#[derive(Debug, Default)]
pub(super) struct Load {
    started: u64,
    own_starts: VecDeque<Instant>,
    ends_since_report: VecDeque<Instant>,
    recent_ends: VecDeque<Instant>,
    peers: BTreeMap<EntryId, VecDeque<PeerSample>>,
}

impl Load {
    /// Counts a started stream of this entry.
    pub(super) fn begin_stream(&mut self, now: Instant) {
        self.started += 1;
        self.own_starts.push_back(now);
    }

    /// Counts an ended stream of this entry, assumed to be the oldest one.
    ///
    /// The newest report, measured at `measured_at`, may still count the stream.
    pub(super) fn end_stream(&mut self, measured_at: Option<Instant>, now: Instant) {
        let Some(begun) = self.own_starts.pop_front() else {
            return;
        };
        self.recent_ends.retain(|at| *at + PEER_LAG > now);
        self.recent_ends.push_back(now);
        let reported = measured_at.is_some_and(|at| is_in_report(begun, at));
        if reported && self.ends_since_report.len() < MAX_ENDS {
            self.ends_since_report.push_back(now);
        }
    }

    /// Drops the ended streams that a report measured at this time no longer counts.
    pub(super) fn note_report(&mut self, measured_at: Instant) {
        self.ends_since_report
            .retain(|at| !is_in_report(*at, measured_at));
    }

    /// Adds a sample of a peer's count.
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

    /// Removes a peer's samples.
    pub(super) fn forget_peer(&mut self, peer: &EntryId) {
        self.peers.remove(peer);
    }

    /// Returns the number of this entry's streams in flight.
    pub(super) fn own_streams(&self) -> u32 {
        count(self.own_starts.len())
    }

    /// Returns the number of streams that this entry has started, including ended ones.
    pub(super) fn started(&self) -> u64 {
        self.started
    }

    /// Returns the growth of this entry's streams that peers cannot know of yet.
    pub(super) fn recent_growth(&self, now: Instant) -> u32 {
        let is_recent = |at: &&Instant| **at + PEER_LAG > now;
        let begun = self.own_starts.iter().rev().take_while(is_recent).count();
        let ended = self.recent_ends.iter().rev().take_while(is_recent).count();
        count(begun.saturating_sub(ended))
    }

    /// Returns the number of the peers' streams in flight.
    pub(super) fn peer_streams(&self) -> u32 {
        self.peers
            .values()
            .filter_map(|samples| samples.back())
            .map(|sample| sample.count)
            .fold(0, u32::saturating_add)
    }

    /// Estimates the endpoint's streams, running and waiting.
    ///
    /// The report counts the streams that had started by its measurement time less the
    /// lag. Streams of this entry and its peers that started later are added, and
    /// those that ended later are subtracted. The estimate is never below the streams
    /// known to be in flight.
    pub(super) fn estimate(&self, reported: Option<(u32, Instant)>) -> u32 {
        let known = self.own_streams().saturating_add(self.peer_streams());
        let Some((streams, measured_at)) = reported else {
            return known;
        };
        let begun = self
            .own_starts
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
        let estimate =
            i64::from(streams) - i64::from(count(self.ends_since_report.len())) + i64::from(own);
        let estimate = estimate.saturating_add(at_peers).max(0);
        u32::try_from(estimate).unwrap_or(u32::MAX).max(known)
    }
}

/// Returns whether a report measured at `measured_at` reflects an event at `happened`.
fn is_in_report(happened: Instant, measured_at: Instant) -> bool {
    happened + REPORT_LAG <= measured_at
}

/// Returns the growth of a peer's count since the report was measured; negative if
/// the count fell.
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

/// Converts a length to a count, saturating at `u32::MAX`.
fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
