//! Keeps the requests of all entries to an endpoint within the limit that it names.
//!
//! An endpoint in need says in its answers how many requests a second it takes from all
//! entries together. For each such endpoint one entry is responsible, which the others ask for
//! a permit before each request. No share has to be divided in advance, so permits go to where
//! the demand is, and limits below one request a second work in large fleets.
//!
//! The responsible entry hands out only the share of the limit that belongs to the entries that
//! it hears, so that the parts of a divided fleet, which each have one, do not exceed the limit
//! together. After a change of responsibility it waits until the last one has stopped. See
//! `docs/design/request-limits.md`.

mod permit_bucket;
mod rate;
mod return_schedule;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::endpoint_registry::EndpointRun;
use permit_bucket::PermitBucket;
pub use rate::{BadRate, RequestRate};
pub use return_schedule::ReturnSchedule;

/// How long the end of a limit is told to peers; several gossip periods.
const LIFTED_RETENTION: Duration = Duration::from_secs(5);
/// How long an endpoint that is no longer known is remembered.
const RUN_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of endpoints that are remembered.
const MAX_RUNS: usize = 4_096;
/// The share by which a limit must change to be worth a log line.
const NOTABLE_CHANGE: f64 = 0.25;
/// When to ask again an entry that does not consider itself responsible; about the time in which
/// entries hear of each other.
const OTHER_RESPONSIBLE_RETRY: Duration = Duration::from_millis(250);
/// The longest time for which an endpoint is taken to have no room after a denial, since the
/// limit may have ended.
const MAX_DENIAL: Duration = Duration::from_secs(5);

/// Says what changed about the limit of an endpoint, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// It has a limit now.
    Set,
    /// Its limit is notably higher or lower.
    Changed,
    /// It has no limit any more.
    Lifted,
}

/// Answers an entry that asks for a permit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitAnswer {
    /// One request may be sent now.
    Granted,
    /// No request may be sent before this time has passed.
    Denied {
        /// The time until the next permit.
        retry: Duration,
    },
}

/// Says how much of the fleet the responsible entry hears.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetPart {
    /// The number of entries that it hears, including itself.
    pub heard: usize,
    /// The number of entries that may send requests.
    pub all: usize,
}

impl FleetPart {
    /// Returns the share of a limit that this part of the fleet may use.
    fn share(self) -> f64 {
        (self.heard as f64 / self.all.max(1) as f64).min(1.0)
    }
}

/// Holds what one run of an endpoint says about its limit, and this entry's part in keeping it.
#[derive(Clone, Debug)]
struct RunLimit {
    /// The limit; none if it has none now.
    rate: Option<RequestRate>,
    /// When the endpoint said so.
    said_at: Instant,
    /// Whether its last limit was invalid.
    is_invalid: bool,
    /// Since when this entry is responsible, if it is.
    responsible_since: Option<Instant>,
    bucket: PermitBucket,
    /// Until when this entry sends it no request, after a denial.
    no_room_until: Option<Instant>,
}

/// Holds the limits of all endpoints that name one.
#[derive(Clone, Debug, Default)]
pub struct RequestLimits {
    by_run: BTreeMap<EndpointRun, RunLimit>,
}

impl RequestLimits {
    /// Records what an endpoint said at `said_at`; the newest word counts.
    ///
    /// `responsible_since` is used if the run is new: since when this entry would be responsible
    /// for it.
    pub fn note(
        &mut self,
        run: &EndpointRun,
        rate: Option<RequestRate>,
        said_at: Instant,
        responsible_since: Option<Instant>,
    ) -> Option<LimitChange> {
        let Some(limit) = self.by_run.get_mut(run) else {
            rate?;
            self.insert(run, rate, said_at, responsible_since);
            return Some(LimitChange::Set);
        };
        if said_at < limit.said_at {
            return None;
        }
        limit.said_at = said_at;
        limit.is_invalid = false;
        let old = std::mem::replace(&mut limit.rate, rate);
        match (old, rate) {
            (None, Some(_)) => Some(LimitChange::Set),
            (Some(_), None) => {
                limit.no_room_until = None;
                Some(LimitChange::Lifted)
            }
            (Some(old), Some(new)) => {
                let change = (new.per_second() - old.per_second()).abs();
                (change > old.per_second() * NOTABLE_CHANGE).then_some(LimitChange::Changed)
            }
            (None, None) => None,
        }
    }

    /// Records that an endpoint named an invalid limit, which changes nothing; returns whether it
    /// is the first in a row.
    pub fn note_invalid(&mut self, run: &EndpointRun, now: Instant) -> bool {
        if !self.by_run.contains_key(run) {
            self.insert(run, None, now, None);
        }
        let limit = self.by_run.get_mut(run);
        limit.is_some_and(|limit| !std::mem::replace(&mut limit.is_invalid, true))
    }

    fn insert(
        &mut self,
        run: &EndpointRun,
        rate: Option<RequestRate>,
        said_at: Instant,
        responsible_since: Option<Instant>,
    ) {
        if self.by_run.len() >= MAX_RUNS {
            let oldest = self.by_run.iter().min_by_key(|(_, limit)| limit.said_at);
            if let Some(oldest) = oldest.map(|(run, _)| run.clone()) {
                self.by_run.remove(&oldest);
            }
        }
        let limit = RunLimit {
            rate,
            said_at,
            is_invalid: false,
            responsible_since,
            bucket: PermitBucket::with_one(said_at),
            no_room_until: None,
        };
        self.by_run.insert(run.clone(), limit);
    }

    /// Returns the limit of a run and when it was said; none if it has none.
    pub fn limit_of(&self, run: &EndpointRun) -> Option<(RequestRate, Instant)> {
        let limit = self.by_run.get(run)?;
        Some((limit.rate?, limit.said_at))
    }

    /// Returns the number of runs that have a limit.
    pub fn count(&self) -> usize {
        let limits = self.by_run.values();
        limits.filter(|limit| limit.rate.is_some()).count()
    }

    /// Returns the limits, and those that have ended lately, with when they were said, so that
    /// peers learn them.
    pub fn told(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&EndpointRun, Option<RequestRate>, Instant)> {
        let told = self.by_run.iter().filter(move |(_, limit)| {
            let age = now.saturating_duration_since(limit.said_at);
            limit.rate.is_some() || !limit.is_invalid && age < LIFTED_RETENTION
        });
        told.map(|(run, limit)| (run, limit.rate, limit.said_at))
    }

    /// Records for which runs this entry is responsible now, and forgets the runs that are gone.
    pub fn review(
        &mut self,
        is_responsible: impl Fn(&EndpointRun) -> bool,
        is_known: impl Fn(&EndpointRun) -> bool,
        now: Instant,
    ) {
        self.by_run.retain(|run, limit| {
            let age = now.saturating_duration_since(limit.said_at);
            age < RUN_RETENTION || is_known(run)
        });
        for (run, limit) in &mut self.by_run {
            match (limit.responsible_since, is_responsible(run)) {
                (Some(_), true) | (None, false) => {}
                (None, true) => limit.responsible_since = Some(now),
                (Some(_), false) => limit.responsible_since = None,
            }
        }
    }

    /// Records that this process was paused, so that another entry may have become responsible.
    pub fn note_paused(&mut self, now: Instant) {
        for limit in self.by_run.values_mut() {
            limit.responsible_since = limit.responsible_since.map(|_| now);
        }
    }

    /// Hands out a permit for one request to a run, as the entry that is responsible for it.
    ///
    /// `handover` is the time in which the last responsible entry learns that it is not.
    pub fn try_permit(
        &mut self,
        run: &EndpointRun,
        part: FleetPart,
        handover: Duration,
        now: Instant,
    ) -> PermitAnswer {
        let Some((limit, rate)) = self.by_run.get_mut(run).and_then(|limit| {
            let rate = limit.rate?;
            Some((limit, rate))
        }) else {
            return PermitAnswer::Granted;
        };
        let Some(since) = limit.responsible_since else {
            return PermitAnswer::Denied {
                retry: OTHER_RESPONSIBLE_RETRY,
            };
        };
        let from = since + handover;
        if now < from {
            limit.bucket.empty(from);
            return PermitAnswer::Denied { retry: from - now };
        }
        let per_second = rate.usable_per_second() * part.share();
        match limit.bucket.take(per_second, now) {
            Ok(()) => PermitAnswer::Granted,
            Err(retry) => PermitAnswer::Denied { retry },
        }
    }

    /// Records that a permit for a run was denied.
    pub fn note_denied(&mut self, run: &EndpointRun, retry: Duration, now: Instant) {
        if let Some(limit) = self.by_run.get_mut(run) {
            limit.no_room_until = Some(now + retry.min(MAX_DENIAL));
        }
    }

    /// Returns until when this entry sends a run no request; none if it may have room.
    pub fn no_room_until(&self, run: &EndpointRun, now: Instant) -> Option<Instant> {
        let until = self.by_run.get(run)?.no_room_until;
        until.filter(|until| now < *until)
    }
}
