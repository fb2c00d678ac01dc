//! Passes on which runs of endpoints refuse connections, so that not every entry has to lose
//! requests to find out.
//!
//! Load pattern: endpoints crash in a fleet of hundreds of entries. Only a refused connection is
//! passed on, which says that no process listens there; an entry whose own links are harmed sees
//! silence instead.

use std::time::{Duration, Instant};

use super::EndpointRegistry;
use super::notices::EndpointRun;
use super::tracked::{SuspectReason, Suspicion};

/// How long a refused connection is passed on; long enough to reach all entries.
const DEATH_NEWS_TIME: Duration = Duration::from_secs(2);
/// When an endpoint that a peer found dead is probed here. Its next run registers in the store, so
/// that probes are not needed to find it.
const TOLD_PROBE_DELAY: Duration = Duration::from_secs(3);

/// Says when an entry probes an endpoint that a peer found dead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ToldProbe {
    /// At once: the entry decides on the placement, and one own probe still has to fail before the
    /// endpoint's layers count as lost.
    AtOnce,
    /// Later, since many entries that probe at once cost more than they find out.
    Later,
}

impl EndpointRegistry {
    /// Returns the runs that refused a connection lately, here or at a peer, with the time since.
    pub fn dead_runs(&self, now: Instant) -> impl Iterator<Item = (EndpointRun, Duration)> {
        self.by_id.values().filter_map(move |tracked| {
            let suspect = tracked.suspect.filter(|suspect| !suspect.has_answered)?;
            let age = now.saturating_duration_since(suspect.refused_at?);
            (age < DEATH_NEWS_TIME).then(|| (tracked.record.run(), age))
        })
    }

    /// Records that a run refused a connection of a peer some time ago; returns whether the
    /// endpoint was not suspect before. A later run is not concerned.
    pub fn note_dead(
        &mut self,
        run: &EndpointRun,
        age: Duration,
        probe: ToldProbe,
        now: Instant,
    ) -> bool {
        let Some(tracked) = self.by_id.get_mut(&run.endpoint) else {
            return false;
        };
        if tracked.record.run() != *run || age >= DEATH_NEWS_TIME {
            return false;
        }
        // An answer since then, or a record that is newer, shows that it lives.
        let Some(refused_at) = now.checked_sub(age) else {
            return false;
        };
        let lives = |at: Option<Instant>| at.is_some_and(|at| at > refused_at);
        if lives(tracked.reported_at) || lives(Some(tracked.renewed_at)) {
            return false;
        }
        let delay = match probe {
            ToldProbe::AtOnce => Duration::ZERO,
            ToldProbe::Later => TOLD_PROBE_DELAY,
        };
        let is_new = tracked.mark_suspect(SuspectReason::ToldDead, now);
        if let Some(suspect) = tracked.suspect.as_mut().filter(|_| is_new) {
            *suspect = Suspicion {
                next_probe_at: now + delay,
                failed_probes: 1,
                is_refused: true,
                refused_at: Some(refused_at),
                is_confirmed_dead: true,
                ..*suspect
            };
        }
        is_new
    }
}
