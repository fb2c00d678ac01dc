//! Keeps what runs of endpoints said of themselves in their answers.
//!
//! A notice belongs to one run and outlasts the endpoint's record, which can expire in the store
//! and return while the process goes on.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::EndpointId;

/// How long a notice is kept after the record of its run is gone; endpoints that leave go on
/// for seconds.
const NOTICE_RETENTION: Duration = Duration::from_secs(600);

/// The longest pause that an endpoint can ask for; a longer one cannot be meant.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Identifies one run of an endpoint, between two starts of its process.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EndpointRun {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The Unix time of its start, in ms, if it is known.
    pub started_unix_ms: Option<u64>,
}

/// Holds what one run said of itself.
#[derive(Clone, Copy, Debug)]
struct Notice {
    noted_at: Instant,
    is_leaving: bool,
    paused_until: Option<Instant>,
}

/// Holds the notices of all runs.
#[derive(Clone, Debug, Default)]
pub(super) struct RunNotices {
    by_run: BTreeMap<EndpointRun, Notice>,
}

impl RunNotices {
    /// Records that a run is leaving; returns whether that is new.
    pub(super) fn note_leaving(&mut self, run: &EndpointRun, now: Instant) -> bool {
        let notice = self.notice(run, now);
        let is_new = !notice.is_leaving;
        notice.is_leaving = true;
        is_new
    }

    /// Records that a run wants no requests for `pause`; returns whether it had no pause yet.
    ///
    /// A later answer with a shorter pause does not shorten the first one.
    pub(super) fn note_pause(&mut self, run: &EndpointRun, pause: Duration, now: Instant) -> bool {
        let is_new = !self.is_paused(run, now);
        let until = Some(now + pause.min(MAX_PAUSE));
        let notice = self.notice(run, now);
        notice.paused_until = notice.paused_until.max(until);
        is_new
    }

    /// Returns when the pause of a run ends; none if it has none now.
    pub(super) fn paused_until(&self, run: &EndpointRun, now: Instant) -> Option<Instant> {
        let until = self.by_run.get(run)?.paused_until;
        until.filter(|until| now < *until)
    }

    /// Returns whether a run wants no requests now.
    pub(super) fn is_paused(&self, run: &EndpointRun, now: Instant) -> bool {
        self.paused_until(run, now).is_some()
    }

    /// Returns whether a run has said that it is leaving.
    pub(super) fn is_leaving(&self, run: &EndpointRun) -> bool {
        self.by_run.get(run).is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the runs that have said that they are leaving.
    pub(super) fn leaving(&self) -> impl Iterator<Item = &EndpointRun> {
        let leaving = self.by_run.iter().filter(|(_, notice)| notice.is_leaving);
        leaving.map(|(run, _)| run)
    }

    /// Discards the old notices of runs that are no longer known.
    pub(super) fn expire(&mut self, is_known: impl Fn(&EndpointRun) -> bool, now: Instant) {
        self.by_run.retain(|run, notice| {
            let age = now.saturating_duration_since(notice.noted_at);
            age < NOTICE_RETENTION || is_known(run)
        });
    }

    fn notice(&mut self, run: &EndpointRun, now: Instant) -> &mut Notice {
        let notice = self.by_run.entry(run.clone()).or_insert(Notice {
            noted_at: now,
            is_leaving: false,
            paused_until: None,
        });
        notice.noted_at = now;
        notice
    }
}
