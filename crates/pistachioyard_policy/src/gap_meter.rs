//! Tells a stream that pauses from one whose path is dead.
//!
//! Answers the load pattern of an endpoint that dies in the middle of a path: its
//! connections stay open and the streams through it just stop.

use std::time::{Duration, Instant};

/// How many times its usual gap a stream may pause until the endpoints of its path are
/// glanced at.
const GLANCE_GAPS: f64 = 1.25;
/// The least pause at which they are; callers accept about three times as much, in which
/// the dead endpoint must be found and its layers read again.
const MIN_GLANCE: Duration = Duration::from_millis(60);
/// The part of the target for the first event after which they are.
const FIRST_GLANCE_SHARE: f64 = 0.25;
/// How long after a glance the next one follows.
const GLANCE_AGAIN: Duration = Duration::from_millis(20);
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

/// What is due when a stream has paused for its patience.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Look {
    /// The endpoints through which nothing comes are asked whether they live.
    Glance,
    /// The first endpoint's report is asked for too.
    Report,
}

/// Measures the gaps between the events of one stream.
#[derive(Clone, Debug)]
pub struct GapMeter {
    first_patience: Duration,
    max_patience: Duration,
    /// The mean gap; none before two events.
    usual: Option<f64>,
    last_event_at: Instant,
    next_glance_at: Option<Instant>,
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
            next_glance_at: None,
            next_look_at: None,
            has_event: false,
        }
    }

    /// Begins to wait for the first event on a path.
    pub fn begin(&mut self, now: Instant) {
        self.last_event_at = now;
        self.next_glance_at = None;
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
        self.next_glance_at = None;
        self.next_look_at = None;
        self.has_event = true;
    }

    /// Returns since when nothing has come.
    pub fn silent_since(&self) -> Instant {
        self.last_event_at
    }

    /// Returns how long to wait until the pause is looked into.
    pub fn patience(&self, now: Instant) -> Duration {
        let due_at = self.glance_at().min(self.look_at());
        due_at.saturating_duration_since(now)
    }

    /// Begins a look and says what is due.
    pub fn begin_look(&mut self, now: Instant) -> Look {
        self.next_glance_at = Some(now + GLANCE_AGAIN);
        if now >= self.look_at() {
            Look::Report
        } else {
            Look::Glance
        }
    }

    fn glance_at(&self) -> Instant {
        let first = self.last_event_at + self.first_glance();
        self.next_glance_at.unwrap_or(first)
    }

    fn look_at(&self) -> Instant {
        let first = self.last_event_at + self.first_look();
        self.next_look_at.unwrap_or(first)
    }

    fn first_glance(&self) -> Duration {
        if !self.has_event {
            return self
                .first_patience
                .mul_f64(FIRST_GLANCE_SHARE / FIRST_EVENT_SHARE);
        }
        let usual = Duration::from_secs_f64(self.usual.unwrap_or(0.0) * GLANCE_GAPS);
        usual.clamp(MIN_GLANCE, self.max_patience.max(MIN_GLANCE))
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
        self.next_look_at = Some(now + LOOK_AGAIN);
        if pause >= MAX_PAUSE {
            PauseVerdict::Leave
        } else {
            PauseVerdict::Wait
        }
    }
}
