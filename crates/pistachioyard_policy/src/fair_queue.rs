//! Requests that wait for admission, in fair order.
//!
//! A more urgent priority goes first, but the lowest gets one turn in
//! [`LOW_TURN_INTERVAL`]. Within a priority the workspaces share by weight
//! (start-time fair queueing). See `docs/design/admission.md`.

mod drain_rate;
mod lane;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

use pistachioyard_wire::{Priority, WorkspaceName};

pub use drain_rate::DrainRate;
use lane::Lane;

/// While low-priority requests wait, at least one admission in this many is one
/// of theirs.
const LOW_TURN_INTERVAL: u32 = 16;

/// A request that waits for admission.
#[derive(Clone, Debug)]
pub struct Ticket<T> {
    /// The workspace that asks.
    pub workspace: WorkspaceName,
    /// Its share relative to the other workspaces; 0 counts as 1.
    pub weight: u32,
    /// The request's priority.
    pub priority: Priority,
    /// When waiting any longer is useless.
    pub give_up_at: Instant,
    /// What is admitted.
    pub item: T,
}

/// Why a ticket was not taken: its workspace has no place left, or it is too late.
pub struct QueueFull<T> {
    /// The ticket, given back.
    pub ticket: Ticket<T>,
    /// The tickets that wait, of all workspaces.
    pub waiting: usize,
}

impl<T> fmt::Debug for QueueFull<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueFull")
            .field("workspace", &self.ticket.workspace)
            .field("waiting", &self.waiting)
            .finish_non_exhaustive()
    }
}

impl<T> fmt::Display for QueueFull<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the workspace {} has no place left in the queue, in which {} requests wait; ask again later",
            self.ticket.workspace, self.waiting
        )
    }
}

impl<T> std::error::Error for QueueFull<T> {}

/// The tickets that wait at one entry.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    max_waiting: usize,
    lanes: BTreeMap<Priority, Lane<T>>,
    external_usage: BTreeMap<WorkspaceName, u32>,
    admitted_past_low: u32,
}

impl<T> FairQueue<T> {
    /// Makes an empty queue of `max_waiting` places.
    pub fn new(max_waiting: usize) -> Self {
        let lanes = Priority::ALL.into_iter().map(|p| (p, Lane::default()));
        Self {
            max_waiting,
            lanes: lanes.collect(),
            external_usage: BTreeMap::new(),
            admitted_past_low: 0,
        }
    }

    /// Puts a ticket into the queue.
    ///
    /// A workspace may have as many tickets as there are free places. One that
    /// floods the queue thus gets half of the places, and the rest stay free for
    /// the others.
    ///
    /// # Errors
    ///
    /// Gives the ticket back when the workspace has its share, and when the
    /// ticket's time to give up has come.
    pub fn push(&mut self, ticket: Ticket<T>, now: Instant) -> Result<(), QueueFull<T>> {
        let waiting = self.len();
        let own = self.waiting_of(&ticket.workspace);
        let free = self.max_waiting.saturating_sub(waiting);
        if own >= free || ticket.give_up_at <= now {
            return Err(QueueFull { ticket, waiting });
        }
        self.lanes.entry(ticket.priority).or_default().push(ticket);
        Ok(())
    }

    /// Takes out the ticket whose turn it is, of those that are eligible.
    ///
    /// Within a workspace the first eligible ticket is taken, so that one that
    /// waits for a busy model does not hold up the others. Tickets whose time to
    /// give up has come are left for [`Self::expire`].
    pub fn pop(
        &mut self,
        mut eligible: impl FnMut(&WorkspaceName, &T) -> bool,
        now: Instant,
    ) -> Option<Ticket<T>> {
        for priority in self.turn() {
            let Some(lane) = self.lanes.get_mut(&priority) else {
                continue;
            };
            if let Some(ticket) = lane.pop(&mut eligible, &self.external_usage, now) {
                self.count_admission(priority);
                return Some(ticket);
            }
        }
        None
    }

    /// Takes out the tickets whose time to give up has come.
    pub fn expire(&mut self, now: Instant) -> Vec<Ticket<T>> {
        self.take_where(|ticket| ticket.give_up_at <= now)
    }

    /// Takes out the tickets whose item meets a condition, such as a caller gone.
    pub fn remove(&mut self, mut condition: impl FnMut(&T) -> bool) -> Vec<Ticket<T>> {
        self.take_where(|ticket| condition(&ticket.item))
    }

    /// Returns the number of tickets that wait.
    pub fn len(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Tells whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the tickets that wait, by workspace.
    pub fn waiting_by_workspace(&self) -> BTreeMap<WorkspaceName, u32> {
        let mut counts = BTreeMap::new();
        for (workspace, waiting) in self.lanes.values().flat_map(Lane::waiting) {
            let count: &mut u32 = counts.entry(workspace.clone()).or_default();
            *count = count.saturating_add(u32::try_from(waiting).unwrap_or(u32::MAX));
        }
        counts
    }

    /// Estimates how many tickets are admitted before a new one.
    pub fn waiting_ahead(
        &self,
        workspace: &WorkspaceName,
        weight: u32,
        priority: Priority,
    ) -> usize {
        let more_urgent = self.lanes.range(..priority).map(|(_, lane)| lane.len());
        let same = self.lanes.get(&priority);
        let same = same.map_or(0, |lane| lane.waiting_ahead(workspace, weight));
        more_urgent.sum::<usize>() + same
    }

    /// Sets what each workspace has in flight at the peers.
    ///
    /// An admission here counts for as many more as the workspace has in flight
    /// elsewhere, so that shares hold over all entries.
    pub fn set_external_usage(&mut self, usage: BTreeMap<WorkspaceName, u32>) {
        self.external_usage = usage;
    }

    fn turn(&self) -> [Priority; 3] {
        if self.admitted_past_low + 1 >= LOW_TURN_INTERVAL {
            [Priority::Low, Priority::High, Priority::Normal]
        } else {
            Priority::ALL
        }
    }

    fn count_admission(&mut self, priority: Priority) {
        let low_waits = self.lanes.get(&Priority::Low).is_some_and(|l| l.len() > 0);
        self.admitted_past_low = match priority {
            Priority::High | Priority::Normal if low_waits => {
                self.admitted_past_low.saturating_add(1)
            }
            Priority::High | Priority::Normal | Priority::Low => 0,
        };
    }

    fn take_where(&mut self, mut condition: impl FnMut(&Ticket<T>) -> bool) -> Vec<Ticket<T>> {
        let lanes = self.lanes.values_mut();
        lanes
            .flat_map(|lane| lane.take_where(&mut condition))
            .collect()
    }

    fn waiting_of(&self, workspace: &WorkspaceName) -> usize {
        self.lanes.values().map(|l| l.waiting_of(workspace)).sum()
    }
}
