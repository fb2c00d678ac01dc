//! Tells a stream that pauses from one whose path is dead.
//!
//! Answers the load pattern of an endpoint that dies in the middle of a path: its
//! connections stay open and the streams through it just stop.

use std::time::{Duration, Instant};

/// How many times its usual gap a stream may pause until it is looked into.
const SUSPICIOUS_GAPS: f64 = 4.0;
/// The least pause that is looked into; shorter ones come from other requests' prompts.
const MIN_PAUSE: Duration = Duration::from_millis(120);
/// The part of the target for the first event after which it is looked into.
const FIRST_EVENT_SHARE: f64 = 0.5;
/// How long after a look without a finding the next one follows; reports lag by some
/// hundred ms.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// The pause after which a stream leaves its path although nothing was found, since
/// callers give it up after two seconds.
const MAX_PAUSE: Duration = Duration::from_millis(1_400);
/// The weight of a new gap in the running mean.
const NEW_WEIGHT: f64 = 0.2;

/// What to do about a pause.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseVerdict {
    /// Go on waiting.
    Wait,
    /// Leave the path; nothing came for too long.
    Leave,
}

/// Measures the gaps between the events of one stream.
#[derive(Clone, Debug)]
pub struct GapMeter {
    first_patience: Duration,
    max_patience: Duration,
    /// The mean gap; none before two events.
    usual: Option<f64>,
    last_event_at: Instant,
    next_look_at: Option<Instant>,
    has_event: bool,
}

impl GapMeter {
    /// Makes a meter of a stream whose first event and gaps have these targets.
    pub fn new(latency_target: Duration, gap_target: Option<Duration>, now: Instant) -> Self {
        Self {
            first_patience: latency_target.mul_f64(FIRST_EVENT_SHARE),
            max_patience: gap_target.unwrap_or(latency_target),
            usual: None,
            last_event_at: now,
            next_look_at: None,
            has_event: false,
        }
    }

    /// Begins to wait for the first event on a path.
    pub fn begin(&mut self, now: Instant) {
        self.last_event_at = now;
        self.next_look_at = None;
        self.has_event = false;
    }

    /// Notes that events came.
    pub fn event(&mut self, now: Instant) {
        if self.has_event {
            let gap = now
                .saturating_duration_since(self.last_event_at)
                .as_secs_f64();
            let usual = self.usual.unwrap_or(gap);
            self.usual = Some(usual + NEW_WEIGHT * (gap - usual));
        }
        self.last_event_at = now;
        self.next_look_at = None;
        self.has_event = true;
    }

    /// Returns how long to wait until the pause is looked into.
    pub fn patience(&self, now: Instant) -> Duration {
        let look_at = self
            .next_look_at
            .unwrap_or(self.last_event_at + self.first_look());
        look_at.saturating_duration_since(now)
    }

    fn first_look(&self) -> Duration {
        if !self.has_event {
            return self.first_patience;
        }
        let usual = Duration::from_secs_f64(self.usual.unwrap_or(0.0) * SUSPICIOUS_GAPS);
        usual.clamp(MIN_PAUSE, self.max_patience.max(MIN_PAUSE))
    }

    /// Decides after a look that found nothing.
    pub fn next_look(&mut self, now: Instant) -> PauseVerdict {
        let pause = now.saturating_duration_since(self.last_event_at);
        if pause >= MAX_PAUSE {
            return PauseVerdict::Leave;
        }
        self.next_look_at = Some(now + LOOK_AGAIN);
        PauseVerdict::Wait
    }
}
