//! Distinguishes a stream that merely pauses from one whose path has failed.
//!
//! When an endpoint in the middle of a path dies, its connections can stay open while the
//! streams through it simply stop.

use std::time::{Duration, Instant};

/// The multiple of its mean gap that a stream may pause before the endpoints of its path are
/// probed.
const PROBE_GAP_FACTOR: f64 = 1.25;
/// The shortest pause after which the endpoints of the path are probed. Callers accept
/// pauses about three times as long; in that time the failed endpoint must be found and its
/// layers prefilled again elsewhere.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(60);
/// The share of the first event's latency target after which the endpoints of the
/// path are probed.
const FIRST_PROBE_SHARE: f64 = 0.25;
/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// The multiple of its mean gap that a stream may pause before a report is requested.
const REPORT_GAP_FACTOR: f64 = 4.0;
/// The shortest pause before a report is requested; shorter ones can be caused by the prefill
/// of other requests.
const MIN_REPORT_PAUSE: Duration = Duration::from_millis(120);
/// The share of the first event's latency target after which a report is requested.
const FIRST_REPORT_SHARE: f64 = 0.5;
/// The time between two requests for a report; reports lag by a few hundred ms.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// The pause after which a stream leaves its path even if no fault was found; callers give up
/// after two seconds.
const MAX_PAUSE: Duration = Duration::from_millis(1_400);
/// The weight of a new gap in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Says what to do about a pause in which no fault was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseVerdict {
    /// Keep waiting.
    Wait,
    /// Leave the path, since no event came for too long.
    Leave,
}

/// Says which check is due when a stream pauses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseCheck {
    /// Probe the endpoints of the path through which nothing has come lately.
    Probe,
    /// Probe them and also request the first endpoint's report.
    Report,
}

/// Detects stalls of one stream by the gaps between its events.
#[derive(Clone, Debug)]
pub struct StallDetector {
    first_report_delay: Duration,
    max_report_delay: Duration,
    /// The mean gap in seconds; `None` before two events.
    mean_gap: Option<f64>,
    last_event_at: Instant,
    next_probe_at: Option<Instant>,
    next_report_at: Option<Instant>,
    has_event: bool,
}

impl StallDetector {
    /// Creates a detector for a stream with these targets for its first event and its gaps.
    pub fn new(latency_target: Duration, gap_target: Option<Duration>, now: Instant) -> Self {
        Self {
            first_report_delay: latency_target.mul_f64(FIRST_REPORT_SHARE),
            max_report_delay: gap_target.unwrap_or(latency_target),
            mean_gap: None,
            last_event_at: now,
            next_probe_at: None,
            next_report_at: None,
            has_event: false,
        }
    }

    /// Starts waiting for the first event on a path.
    pub fn begin(&mut self, now: Instant) {
        self.last_event_at = now;
        self.next_probe_at = None;
        self.next_report_at = None;
        self.has_event = false;
    }

    /// Records that one or more events arrived.
    pub fn record_event(&mut self, now: Instant) {
        if self.has_event {
            let gap = now
                .saturating_duration_since(self.last_event_at)
                .as_secs_f64();
            let mean_gap = self.mean_gap.unwrap_or(gap);
            self.mean_gap = Some(mean_gap + SAMPLE_WEIGHT * (gap - mean_gap));
        }
        self.last_event_at = now;
        self.next_probe_at = None;
        self.next_report_at = None;
        self.has_event = true;
    }

    /// Returns the time since which no event has arrived.
    pub fn silent_since(&self) -> Instant {
        self.last_event_at
    }

    /// Returns how long to wait until the next check of the pause.
    pub fn until_next_check(&self, now: Instant) -> Duration {
        let due_at = self.probe_at().min(self.report_at());
        due_at.saturating_duration_since(now)
    }

    /// Starts a check and returns which one is due.
    pub fn begin_check(&mut self, now: Instant) -> PauseCheck {
        self.next_probe_at = Some(now + PROBE_INTERVAL);
        if now >= self.report_at() {
            PauseCheck::Report
        } else {
            PauseCheck::Probe
        }
    }

    fn probe_at(&self) -> Instant {
        let first = self.last_event_at + self.probe_delay();
        self.next_probe_at.unwrap_or(first)
    }

    fn report_at(&self) -> Instant {
        let first = self.last_event_at + self.report_delay();
        self.next_report_at.unwrap_or(first)
    }

    fn probe_delay(&self) -> Duration {
        if !self.has_event {
            return self
                .first_report_delay
                .mul_f64(FIRST_PROBE_SHARE / FIRST_REPORT_SHARE);
        }
        let delay = Duration::from_secs_f64(self.mean_gap.unwrap_or(0.0) * PROBE_GAP_FACTOR);
        delay.clamp(MIN_PROBE_PAUSE, self.max_report_delay.max(MIN_PROBE_PAUSE))
    }

    fn report_delay(&self) -> Duration {
        if !self.has_event {
            return self.first_report_delay;
        }
        let delay = Duration::from_secs_f64(self.mean_gap.unwrap_or(0.0) * REPORT_GAP_FACTOR);
        delay.clamp(
            MIN_REPORT_PAUSE,
            self.max_report_delay.max(MIN_REPORT_PAUSE),
        )
    }

    /// Ends a check that found no fault and decides whether to stay on the path.
    pub fn finish_check(&mut self, now: Instant) -> PauseVerdict {
        let pause = now.saturating_duration_since(self.last_event_at);
        self.next_report_at = Some(now + REPORT_INTERVAL);
        if pause >= MAX_PAUSE {
            PauseVerdict::Leave
        } else {
            PauseVerdict::Wait
        }
    }
}
