//! Measures for how long an endpoint has been writing an answer.

use std::time::{Duration, Instant};

/// The writing time that proves that a prompt does not crash the endpoint.
pub const PROOF_WRITING_TIME: Duration = Duration::from_millis(500);
/// The most that one pause between two pieces adds. A process that was paused reads old pieces
/// late, which must not look like an endpoint that still writes.
const MAX_COUNTED_PAUSE: Duration = Duration::from_millis(100);

/// Measures the writing time of one answer.
#[derive(Clone, Copy, Debug, Default)]
pub struct WritingTime {
    last_at: Option<Instant>,
    total: Duration,
}

impl WritingTime {
    /// Records a piece of the answer; returns whether the writing time has just become a proof.
    pub fn record_piece(&mut self, now: Instant) -> bool {
        let pause = self
            .last_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.last_at = Some(now);
        let was_proof = self.total >= PROOF_WRITING_TIME;
        self.total += pause.min(MAX_COUNTED_PAUSE);
        !was_proof && self.total >= PROOF_WRITING_TIME
    }
}
