//! Marks of one endpoint, kept by the run of its process.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pistachioyard_wire::BootId;

/// How long a peer's word that an endpoint is dead counts.
const PEER_DEAD_TTL: Duration = Duration::from_secs(3);
/// How long a suspect endpoint is used less.
const SUSPECT_TTL: Duration = Duration::from_secs(5);
/// How long an endpoint gets no new work after the last mark that it is moving.
const MOVING_TTL: Duration = Duration::from_millis(1_500);
/// The most runs whose marks are kept.
const MAX_RUNS: usize = 8;

/// A word that an endpoint did not answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeadMark {
    /// When it did not answer.
    pub(super) at: Instant,
    /// The run that it is about, if known.
    pub(super) boot: Option<BootId>,
    /// Whether this entry found it so itself.
    pub(super) own: bool,
}

/// A word that what an endpoint holds is about to change.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingMark {
    /// When this was last said.
    pub(super) at: Instant,
    /// Whether this entry's controller says so; only its own word is passed on,
    /// so that peers do not keep a mark alive among themselves.
    pub(super) own: bool,
}

/// Why an endpoint gets no new work, or less.
#[derive(Debug, Default)]
pub(super) struct Marks {
    leaving: BTreeMap<BootId, Instant>,
    leaving_unknown_run: Option<Instant>,
    dead: Option<DeadMark>,
    suspect_at: Option<Instant>,
    moving: Option<MovingMark>,
}

impl Marks {
    /// Notes that a run is leaving; this never turns back in the same run.
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

    /// Notes a dead mark unless a younger one is known; an own one stays.
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

    /// Notes that the endpoint was slow once.
    pub(super) fn note_suspect(&mut self, now: Instant) {
        self.suspect_at = Some(now);
    }

    /// Notes that the placement controller is about to change what it holds.
    pub(super) fn note_moving(&mut self, mark: MovingMark) {
        if self.moving.is_none_or(|known| known.at <= mark.at) {
            self.moving = Some(mark);
        }
    }

    /// Returns the newest moving mark, if it still counts.
    pub(super) fn moving(&self, now: Instant) -> Option<MovingMark> {
        self.moving
            .filter(|mark| now.saturating_duration_since(mark.at) < MOVING_TTL)
    }

    /// Takes over that a run reported something measured at this time.
    pub(super) fn note_report(&mut self, boot: BootId, first_report: bool, measured_at: Instant) {
        if first_report && let Some(at) = self.leaving_unknown_run.take() {
            self.note_leaving(Some(boot), at);
        }
        if self.dead.is_some_and(|mark| mark.at < measured_at) {
            self.dead = None;
        }
    }

    /// Returns when the run was found to be leaving.
    pub(super) fn leaving_since(&self, boot: Option<BootId>) -> Option<Instant> {
        match boot {
            Some(boot) => self.leaving.get(&boot).copied(),
            None => self
                .leaving_unknown_run
                .or_else(|| self.leaving.values().max().copied()),
        }
    }

    /// Returns the dead mark that counts for the run now.
    pub(super) fn dead(&self, boot: Option<BootId>, now: Instant) -> Option<DeadMark> {
        self.dead.filter(|mark| {
            let same_run = mark.boot.is_none() || boot.is_none() || mark.boot == boot;
            let age = now.saturating_duration_since(mark.at);
            same_run && (mark.own || age < PEER_DEAD_TTL)
        })
    }

    /// Tells whether the endpoint was slow a short time ago.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_at
            .is_some_and(|at| now.saturating_duration_since(at) < SUSPECT_TTL)
    }
}
