//! Marks of one endpoint; leaving and dead marks apply to one run of its process.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::BootId;

/// How long a peer's dead mark is valid.
const PEER_DEAD_TTL: Duration = Duration::from_secs(3);
/// How long an endpoint stays suspect.
const SUSPECT_TTL: Duration = Duration::from_secs(5);
/// How long a moving mark excludes an endpoint from new work.
const MOVING_TTL: Duration = Duration::from_millis(1_500);
/// The maximum number of runs whose leaving marks are kept.
const MAX_RUNS: usize = 8;

/// A mark that an endpoint did not answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeadMark {
    /// The time at which it did not answer.
    pub(super) at: Instant,
    /// The run that the mark applies to, if known.
    pub(super) boot: Option<BootId>,
    /// Whether this entry set the mark itself.
    pub(super) own: bool,
}

/// A mark that the layers held by an endpoint are about to change.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingMark {
    /// The time at which the mark was last set.
    pub(super) at: Instant,
    /// Whether this entry's controller set the mark. Only own marks are gossiped, so
    /// that peers do not keep a mark alive among themselves.
    pub(super) own: bool,
}

/// The marks of an endpoint that exclude it from new work or reduce its use.
#[derive(Debug, Default)]
pub(super) struct Marks {
    leaving: BTreeMap<BootId, Instant>,
    leaving_unknown_run: Option<Instant>,
    dead: Option<DeadMark>,
    suspect_at: Option<Instant>,
    moving: Option<MovingMark>,
}

impl Marks {
    /// Records that a run is leaving; this is final for the run.
    pub(super) fn note_leaving(&mut self, boot: Option<BootId>, at: Instant) {
        let Some(boot) = boot else {
            self.leaving_unknown_run.get_or_insert(at);
            return;
        };
        while self.leaving.len() >= MAX_RUNS && !self.leaving.contains_key(&boot) {
            let oldest = self.leaving.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(boot, _)| *boot) else {
                break;
            };
            self.leaving.remove(&oldest);
        }
        self.leaving.entry(boot).or_insert(at);
    }

    /// Sets the dead mark unless a newer one is known. An own mark always replaces a
    /// peer's, and a peer's mark never replaces an own one.
    pub(super) fn note_dead(&mut self, mark: DeadMark) {
        let replaces = match self.dead {
            Some(known) if known.own && !mark.own => false,
            Some(known) => known.at <= mark.at || (mark.own && !known.own),
            None => true,
        };
        if replaces {
            self.dead = Some(mark);
        }
    }

    /// Records that the endpoint refused a stream or failed to answer once.
    pub(super) fn note_suspect(&mut self, now: Instant) {
        self.suspect_at = Some(now);
    }

    /// Sets the moving mark unless a newer one is known.
    pub(super) fn note_moving(&mut self, mark: MovingMark) {
        if self.moving.is_none_or(|known| known.at <= mark.at) {
            self.moving = Some(mark);
        }
    }

    /// Returns the moving mark, if it has not expired.
    pub(super) fn moving(&self, now: Instant) -> Option<MovingMark> {
        self.moving
            .filter(|mark| now.saturating_duration_since(mark.at) < MOVING_TTL)
    }

    /// Updates the marks after a report of a run.
    ///
    /// The first report assigns its run the leaving mark that was set while no run was
    /// known. Any report clears a dead mark that is older than its measurement.
    pub(super) fn note_report(&mut self, boot: BootId, first_report: bool, measured_at: Instant) {
        if first_report && let Some(at) = self.leaving_unknown_run.take() {
            self.note_leaving(Some(boot), at);
        }
        if self.dead.is_some_and(|mark| mark.at < measured_at) {
            self.dead = None;
        }
    }

    /// Returns the time since which the run is known to be leaving.
    pub(super) fn leaving_since(&self, boot: Option<BootId>) -> Option<Instant> {
        match boot {
            Some(boot) => self.leaving.get(&boot).copied(),
            None => self
                .leaving_unknown_run
                .or_else(|| self.leaving.values().max().copied()),
        }
    }

    /// Returns the dead mark that applies to the run now.
    pub(super) fn dead(&self, boot: Option<BootId>, now: Instant) -> Option<DeadMark> {
        self.dead.filter(|mark| {
            let same_run = mark.boot.is_none() || boot.is_none() || mark.boot == boot;
            let age = now.saturating_duration_since(mark.at);
            same_run && (mark.own || age < PEER_DEAD_TTL)
        })
    }

    /// Returns whether the endpoint refused a stream or failed to answer recently.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_at
            .is_some_and(|at| now.saturating_duration_since(at) < SUSPECT_TTL)
    }
}
