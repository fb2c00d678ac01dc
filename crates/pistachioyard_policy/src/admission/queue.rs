//! The queue of the requests that wait at one entry for the room of one service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::standings::Standings;
use super::waiting::{Applicant, Ticket, Waiting};
use crate::fair_queue::DrainRate;

/// The maximum number of requests that wait.
const MAX_WAITING: usize = 256;
/// The maximum size of the bodies of the requests that wait.
const MAX_WAITING_BYTES: usize = 16 * 1024 * 1024;
/// How many requests at the front look for room. Their sizes differ, so a smaller one may fit where
/// the first one does not.
const FRONT: usize = 3;
/// The number of admissions of which at least one is of a less urgent request while one waits.
const LESS_URGENT_INTERVAL: u32 = 16;
/// The time over which the rate of admissions is averaged.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Reports why a request may not wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum QueueRefusal {
    /// It would not get room in time.
    #[error(
        "{ahead} requests go first, which takes longer than the request can wait to be served in \
         time"
    )]
    Hopeless {
        /// The number of requests that go first.
        ahead: usize,
    },
    /// The queue is full of requests that are as urgent.
    #[error("the queue is full with {waiting} requests")]
    Full {
        /// The number of requests that wait.
        waiting: usize,
    },
}

impl QueueRefusal {
    /// Returns the name of the cause, for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Hopeless { .. } => "hopeless",
            Self::Full { .. } => "full",
        }
    }
}

/// Holds the place of a request that waits now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Joined {
    /// The request's ticket.
    pub ticket: Ticket,
    /// The less urgent requests that were removed for it.
    pub displaced: Vec<Ticket>,
}

/// A queue by urgency, then by the share of workspaces.
///
/// Requests leave it when they have found room, or given up; nothing is removed by time.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    waiting: BTreeMap<Ticket, Applicant>,
    next_ticket: u64,
    bytes: usize,
    drain_rate: DrainRate,
    /// The last admission, or when the first request began to wait.
    progress_at: Option<Instant>,
    /// The admissions since a less urgent request was admitted, while one waits.
    more_urgent_in_row: u32,
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_ticket: 0,
            bytes: 0,
            drain_rate: DrainRate::new(DRAIN_TIME),
            progress_at: None,
            more_urgent_in_row: 0,
        }
    }
}

impl AdmissionQueue {
    /// Adds a request.
    ///
    /// # Errors
    ///
    /// Fails if the request would not get room in time by the rate at which others do, or the queue
    /// is full of requests that are as urgent.
    pub fn join(
        &mut self,
        applicant: Applicant,
        standings: &Standings,
        now: Instant,
    ) -> Result<Joined, QueueRefusal> {
        let ticket = Ticket(self.next_ticket);
        let order = self.order(standings);
        let rank = Waiting { ticket, applicant }.rank(standings);
        let is_ahead = |waiting: &&Waiting| waiting.rank(standings).order(&rank).is_lt();
        let ahead = order.iter().filter(is_ahead).count();
        if self.is_hopeless(ahead, &applicant, now) {
            return Err(QueueRefusal::Hopeless { ahead });
        }
        let mut displaced = self.displaced_by(&applicant, &order)?;
        // The last one goes one later from now on, which may be too late for it.
        if let Some(last) = order.last()
            && displaced.is_empty()
            && last.applicant.urgency > applicant.urgency
            && self.is_hopeless(order.len(), &last.applicant, now)
        {
            displaced.push(last.ticket);
        }
        for displaced in &displaced {
            self.remove(*displaced);
        }
        if self.waiting.is_empty() {
            // An admission after idle time only starts the measured time.
            self.drain_rate.on_completion(now);
            self.progress_at = Some(now);
        }
        self.next_ticket += 1;
        self.bytes += applicant.bytes;
        self.waiting.insert(ticket, applicant);
        Ok(Joined { ticket, displaced })
    }

    /// Removes a request that found room.
    pub fn on_admitted(&mut self, ticket: Ticket, now: Instant) {
        let Some(admitted) = self.remove(ticket) else {
            return;
        };
        self.drain_rate.on_completion(now);
        self.progress_at = Some(now);
        let others = self.waiting.values();
        let most_urgent = others.clone().map(|other| other.urgency).min();
        let has_less_urgent = others.map(|o| o.urgency).any(|u| u > admitted.urgency);
        let passed_one = most_urgent.is_some_and(|most| most < admitted.urgency);
        self.more_urgent_in_row = match has_less_urgent && !passed_one {
            true => self.more_urgent_in_row.saturating_add(1),
            false => 0,
        };
        self.note_idle();
    }

    /// Removes a request that gave up or whose caller has gone.
    pub fn leave(&mut self, ticket: Ticket) {
        self.remove(ticket);
        self.note_idle();
    }

    /// Returns the requests that may look for room now, in their order.
    pub fn front(&self, standings: &Standings) -> Vec<Ticket> {
        let order = self.order(standings);
        let of_kind = |is_particular: bool| {
            let waiting = order.iter().map(move |waiting| {
                let is_of_kind = waiting.applicant.is_particular == is_particular;
                is_of_kind.then_some(waiting.ticket)
            });
            waiting.flatten().take(FRONT)
        };
        of_kind(false).chain(of_kind(true)).collect()
    }

    /// Returns whether a request looks for room regardless of what is left free for more urgent
    /// ones, since those have gone first many times.
    pub fn is_relief(&self, ticket: Ticket) -> bool {
        self.relief() == Some(ticket)
    }

    /// Returns whether an equally or more urgent request waits that could use the same room, so
    /// that a new one has to wait as well.
    pub fn must_wait(&self, urgency: u8) -> bool {
        let mut waiting = self.waiting.values();
        waiting.any(|other| !other.is_particular && other.urgency <= urgency)
    }

    /// Returns whether a request waits here.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.waiting.contains_key(&ticket)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests of each urgency.
    pub fn waiting_by_urgency(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for applicant in self.waiting.values() {
            *counts.entry(applicant.urgency).or_default() += 1;
        }
        counts
    }

    fn order(&self, standings: &Standings) -> Vec<Waiting> {
        let waiting = self.waiting.iter();
        let waiting = waiting.map(|(ticket, applicant)| Waiting {
            ticket: *ticket,
            applicant: *applicant,
        });
        let mut ranked: Vec<_> = waiting.map(|w| (w.rank(standings), w)).collect();
        ranked.sort_by(|(a, _), (b, _)| a.order(b));
        let mut order: Vec<Waiting> = ranked.into_iter().map(|(_, w)| w).collect();
        if let Some(relief) = self.relief()
            && let Some(at) = order.iter().position(|w| w.ticket == relief)
        {
            order[..=at].rotate_right(1);
        }
        order
    }

    /// Returns the request that goes first because more urgent ones went first many times: the
    /// oldest one that is not of the most urgent ones.
    fn relief(&self) -> Option<Ticket> {
        if self.more_urgent_in_row + 1 < LESS_URGENT_INTERVAL {
            return None;
        }
        let most_urgent = self.waiting.values().map(|a| a.urgency).min()?;
        let mut less_urgent = self.waiting.iter().filter(|(_, a)| a.urgency > most_urgent);
        less_urgent.next().map(|(ticket, _)| *ticket)
    }

    fn is_hopeless(&self, ahead: usize, applicant: &Applicant, now: Instant) -> bool {
        let left = applicant.give_up_at.saturating_duration_since(now);
        if left.is_zero() {
            return true;
        }
        // The first one takes whatever room there will be, so its chance is never known to be gone.
        if ahead == 0 {
            return false;
        }
        let stalled = self.progress_at.map(|at| now.saturating_duration_since(at));
        stalled.is_some_and(|stalled| stalled >= left)
            || self.drain_rate.estimated_wait(ahead + 1, now) > left
    }

    /// Returns the less urgent requests that make place for a new one, the last ones first.
    fn displaced_by(
        &self,
        applicant: &Applicant,
        order: &[Waiting],
    ) -> Result<Vec<Ticket>, QueueRefusal> {
        let mut displaced = Vec::new();
        let (mut count, mut bytes) = (self.waiting.len(), self.bytes);
        let mut less_urgent = order.iter().rev();
        while count >= MAX_WAITING || bytes + applicant.bytes > MAX_WAITING_BYTES {
            let waiting = self.waiting.len();
            let last = less_urgent.next().ok_or(QueueRefusal::Full { waiting })?;
            if last.applicant.urgency <= applicant.urgency {
                return Err(QueueRefusal::Full { waiting });
            }
            count -= 1;
            bytes -= last.applicant.bytes;
            displaced.push(last.ticket);
        }
        Ok(displaced)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Applicant> {
        let removed = self.waiting.remove(&ticket)?;
        self.bytes -= removed.bytes;
        Some(removed)
    }

    fn note_idle(&mut self) {
        if self.waiting.is_empty() {
            self.drain_rate.on_idle();
            self.progress_at = None;
            self.more_urgent_in_row = 0;
        }
    }
}
