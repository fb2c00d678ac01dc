//! Measures how fast requests of one service are asked for and admitted.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::promise_row::SPAN;

/// The number of spans over which requests are counted; two seconds, in which a crowd shows
/// without making the rates jump.
const WINDOW_SPANS: u32 = 8;
/// The weight of the newest rate in the usual one; it covers some ten spans.
const NEW_RATE_WEIGHT: f64 = 0.1;

/// Counts the requests of one span.
#[derive(Clone, Copy, Debug)]
struct SpanCount {
    starts_at: Instant,
    asked: u32,
    admitted: u32,
}

/// Holds the requests that this entry was lately asked for and has admitted.
#[derive(Clone, Debug)]
pub(super) struct RoomRate {
    started_at: Instant,
    spans: VecDeque<SpanCount>,
    /// The average rate of spans with admissions, for a time without any.
    usual: f64,
}

impl RoomRate {
    /// Creates an empty count.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            spans: VecDeque::new(),
            usual: 0.0,
        }
    }

    /// Counts a request, by whether it was admitted.
    pub(super) fn note(&mut self, is_admitted: bool, now: Instant) {
        let last = self.spans.back();
        if last.is_none_or(|span| span.starts_at + SPAN <= now) {
            let rate = self.recent(now, |span| span.admitted);
            if rate > 0.0 {
                self.usual += (rate - self.usual) * NEW_RATE_WEIGHT;
            }
            self.spans.push_back(SpanCount {
                starts_at: now,
                asked: 0,
                admitted: 0,
            });
            let oldest = now.checked_sub(window());
            self.spans
                .retain(|span| oldest.is_none_or(|oldest| span.starts_at >= oldest));
        }
        if let Some(span) = self.spans.back_mut() {
            span.asked += 1;
            span.admitted += u32::from(is_admitted);
        }
    }

    /// Returns whether the counts cover enough time to go by them.
    pub(super) fn has_sample(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= window() / 2
    }

    /// Returns how many requests a second are asked for.
    pub(super) fn asked(&self, now: Instant) -> f64 {
        self.recent(now, |span| span.asked)
    }

    /// Returns how many requests a second are admitted; the usual number while none is.
    pub(super) fn admitted(&self, now: Instant) -> f64 {
        let recent = self.recent(now, |span| span.admitted);
        if recent > 0.0 { recent } else { self.usual }
    }

    fn recent(&self, now: Instant, count: impl Fn(&SpanCount) -> u32) -> f64 {
        let counted = self
            .spans
            .iter()
            .filter(|span| now.saturating_duration_since(span.starts_at) < window());
        let sum: u32 = counted.map(count).sum();
        let covered = now.saturating_duration_since(self.started_at);
        f64::from(sum) / covered.clamp(SPAN, window()).as_secs_f64()
    }
}

fn window() -> Duration {
    SPAN * WINDOW_SPANS
}
