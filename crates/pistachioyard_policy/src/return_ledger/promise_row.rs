//! Counts promised returns by time span and urgency.

use std::time::{Duration, Instant};

/// The span over which promised returns are counted together; a gossip period, since peers do
/// not hear of them sooner.
pub(super) const SPAN: Duration = Duration::from_millis(250);
/// The number of spans ahead for which returns are promised.
pub(super) const SPANS: usize = 40;
/// The number of urgencies that are told apart; less urgent ones count as the last.
pub(super) const URGENCIES: usize = 3;

/// Holds the number of returns that are due in each span to come, by urgency.
///
/// The first span is the one that contains the time to which the row was last advanced.
#[derive(Clone, Debug)]
pub(super) struct PromiseRow {
    starts_at: Instant,
    counts: [[u16; URGENCIES]; SPANS],
}

impl PromiseRow {
    /// Creates an empty row whose first span starts now.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            starts_at: now,
            counts: [[0; URGENCIES]; SPANS],
        }
    }

    /// Creates the row that a peer told; what lies beyond the last span is left out.
    pub(super) fn from_told(told: &[u16], now: Instant) -> Self {
        let mut row = Self::new(now);
        let cells = row.counts.iter_mut().flatten();
        for (cell, count) in cells.zip(told) {
            *cell = *count;
        }
        row
    }

    /// Returns the counts for peers, without the empty spans at the end.
    pub(super) fn to_told(&self) -> Vec<u16> {
        let used = self.counts.iter().rposition(|span| *span != [0; URGENCIES]);
        let spans = used.map_or(0, |last| last + 1);
        self.counts[..spans].iter().flatten().copied().collect()
    }

    /// Drops the spans that have passed.
    pub(super) fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.starts_at).as_millis() / SPAN.as_millis();
        let shift = passed.min(SPANS as u128) as usize;
        self.counts.rotate_left(shift);
        self.counts[SPANS - shift..].fill([0; URGENCIES]);
        self.starts_at += SPAN * passed.min(u128::from(u32::MAX)) as u32;
    }

    /// Counts a return.
    pub(super) fn add(&mut self, due: Instant, urgency: usize) {
        let at = self.span_of(due);
        if let Some(span) = self.counts.get_mut(at) {
            span[urgency] = span[urgency].saturating_add(1);
        }
    }

    /// Returns the number of the span that contains a time.
    pub(super) fn span_of(&self, at: Instant) -> usize {
        let ahead = at.saturating_duration_since(self.starts_at);
        (ahead.as_millis() / SPAN.as_millis()) as usize
    }

    /// Returns when a span starts.
    pub(super) fn start_of(&self, span: usize) -> Instant {
        self.starts_at + SPAN * span as u32
    }

    /// Returns the number of returns in a span.
    pub(super) fn count(&self, span: usize) -> f64 {
        let counts = self.counts.get(span);
        counts.map_or(0.0, |counts| counts.iter().copied().map(f64::from).sum())
    }

    /// Returns the number of returns until a time that are at least as urgent, the last span in
    /// proportion.
    pub(super) fn due_within(&self, time: Duration, urgency: usize, now: Instant) -> f64 {
        let until = now + time;
        let spans = self.span_of(now)..=self.span_of(until);
        let due = spans.map(|span| {
            let start = self.start_of(span);
            let covered = until
                .min(start + SPAN)
                .saturating_duration_since(now.max(start));
            let counts = self
                .counts
                .get(span)
                .map_or(&[][..], |counts| &counts[..=urgency]);
            let sum: f64 = counts.iter().copied().map(f64::from).sum();
            sum * covered.as_secs_f64() / SPAN.as_secs_f64()
        });
        due.sum()
    }

    /// Returns whether no return is promised.
    pub(super) fn is_empty(&self) -> bool {
        self.counts.iter().flatten().all(|count| *count == 0)
    }
}
