//! Holds the crashes that one request was in.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pistachioyard_wire::BootId;

use super::{CRASHES_TO_QUARANTINE_SOLE_REPEATER, RELAPSE_HOLD};

/// Holds a loss of which it is not known whether it was a crash.
#[derive(Clone, Copy, Debug)]
pub(super) struct Loss {
    pub(super) at: Instant,
    /// Whether this entry lost the request, and not a peer.
    pub(super) is_own: bool,
}

/// Holds the crashes that a request was in, and whether it is quarantined for them.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    /// The endpoint runs that crashed while they ran the request.
    pub(super) crashed: BTreeSet<BootId>,
    /// The crashes that no longer count, because the request has completed since then.
    pub(super) cleared: BTreeSet<BootId>,
    /// The runs that lost the request and may have ended.
    pub(super) undecided: BTreeMap<BootId, Loss>,
    /// When it was last cleared of crashes.
    pub(super) cleared_at: Option<Instant>,
    pub(super) quarantined: bool,
    /// Whether it crashed an endpoint again after its hold.
    pub(super) has_relapsed: bool,
    /// When the trial in progress began, if there is one.
    pub(super) trial_since: Option<Instant>,
    /// The time of the newest crash.
    pub(super) since: Instant,
    /// The number of messages that have held its mark since the last change.
    pub(super) tellings: u32,
    /// The number of the last message that held it, of all messages of this entry.
    pub(super) last_told: u64,
}

impl CrashRecord {
    pub(super) fn new(since: Instant) -> Self {
        Self {
            crashed: BTreeSet::new(),
            cleared: BTreeSet::new(),
            undecided: BTreeMap::new(),
            cleared_at: None,
            quarantined: false,
            has_relapsed: false,
            trial_since: None,
            since,
            tellings: 0,
            last_told: 0,
        }
    }

    /// Returns whether the request was in enough crashes to be told from a bystander.
    pub(super) fn is_repeater(&self) -> bool {
        self.crashed.len() >= CRASHES_TO_QUARANTINE_SOLE_REPEATER
    }

    /// Returns how long the request is refused after its newest crash.
    pub(super) fn hold(&self, first_hold: Duration) -> Duration {
        match self.has_relapsed {
            true => first_hold.max(RELAPSE_HOLD),
            false => first_hold,
        }
    }

    /// Adds the crash of an endpoint run, unless it is known.
    pub(super) fn add_crash(&mut self, run: BootId, now: Instant, first_hold: Duration) {
        if !self.crashed.insert(run) {
            return;
        }
        self.tellings = 0;
        self.cleared.remove(&run);
        self.undecided.remove(&run);
        let held_until = self.since + self.hold(first_hold);
        self.has_relapsed |= self.quarantined && now >= held_until;
        self.trial_since = None;
        self.since = self.since.max(now);
    }

    /// Adds a loss of this entry of which it is not known whether it was a crash.
    pub(super) fn add_loss(&mut self, run: BootId, at: Instant) {
        if !self.crashed.contains(&run) {
            self.tellings = 0;
            self.cleared.remove(&run);
            self.undecided.insert(run, Loss { at, is_own: true });
        }
    }

    /// Adds such a loss of a peer, unless the run is known.
    pub(super) fn add_told_loss(&mut self, run: BootId, at: Instant) {
        if !self.crashed.contains(&run) && !self.cleared.contains(&run) {
            let loss = Loss { at, is_own: false };
            self.undecided.entry(run).or_insert(loss);
        }
    }

    /// Removes crashes that the request did not cause, and ends its quarantine.
    pub(super) fn clear(&mut self, runs: impl IntoIterator<Item = BootId>, now: Instant) {
        for run in runs {
            self.crashed.remove(&run);
            self.undecided.remove(&run);
            self.cleared.insert(run);
        }
        self.tellings = 0;
        self.cleared_at = Some(now);
        self.quarantined = false;
        self.has_relapsed = false;
        self.trial_since = None;
    }
}
