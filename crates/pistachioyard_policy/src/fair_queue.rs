//! Queue of requests that wait for admission, with weighted fair sharing.
//!
//! A more urgent priority is served first. To prevent starvation, low priority
//! gets at least one admission in [`LOW_PRIORITY_INTERVAL`]. Within a priority,
//! workspaces share admissions by weight (start-time fair queueing). See
//! `docs/design/admission.md`.

mod drain_rate;
mod weighted_queue;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Instant;

use pistachioyard_wire::{Priority, WorkspaceName};

pub use drain_rate::DrainRate;
use weighted_queue::WeightedQueue;

/// The number of admissions of which at least one is of low priority while
/// low-priority requests wait.
const LOW_PRIORITY_INTERVAL: u32 = 16;

/// A request that waits for admission.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// The workspace that sent the request.
    pub workspace: WorkspaceName,
    /// The workspace's share relative to the others; 0 counts as 1.
    pub weight: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The time after which the request is no longer worth admitting.
    pub deadline: Instant,
    /// The payload, returned when the request is admitted or removed.
    pub item: T,
}

/// The error for a request that was not queued, because its workspace has no
/// place left or its deadline has passed.
pub struct QueueFull<T> {
    /// The rejected request.
    pub request: QueuedRequest<T>,
    /// The number of requests that wait, over all workspaces.
    pub waiting: usize,
}

impl<T> fmt::Debug for QueueFull<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueFull")
            .field("workspace", &self.request.workspace)
            .field("waiting", &self.waiting)
            .finish_non_exhaustive()
    }
}

impl<T> fmt::Display for QueueFull<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the request of workspace {} was not queued, because the workspace has no place left \
             or the deadline has passed ({} requests are waiting); retry later",
            self.request.workspace, self.waiting
        )
    }
}

impl<T> std::error::Error for QueueFull<T> {}

/// A queue of the requests that wait at one entry.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    max_waiting: usize,
    queues: BTreeMap<Priority, WeightedQueue<T>>,
    external_usage: BTreeMap<WorkspaceName, u32>,
    admitted_since_low: u32,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue with `max_waiting` places.
    pub fn new(max_waiting: usize) -> Self {
        let queues = Priority::ALL
            .into_iter()
            .map(|p| (p, WeightedQueue::default()));
        Self {
            max_waiting,
            queues: queues.collect(),
            external_usage: BTreeMap::new(),
            admitted_since_low: 0,
        }
    }

    /// Adds a request to the queue.
    ///
    /// A workspace may queue a request while it has fewer requests waiting than
    /// there are free places. A workspace that floods the queue therefore takes
    /// at most half of the places, and the rest stay free for the others.
    ///
    /// # Errors
    ///
    /// Returns the request when the workspace has used up its share of the places
    /// or the request's deadline has passed.
    pub fn push(&mut self, request: QueuedRequest<T>, now: Instant) -> Result<(), QueueFull<T>> {
        let waiting = self.len();
        let own = self.waiting_of(&request.workspace);
        let free = self.max_waiting.saturating_sub(waiting);
        if own >= free || request.deadline <= now {
            return Err(QueueFull { request, waiting });
        }
        self.queues
            .entry(request.priority)
            .or_default()
            .push(request);
        Ok(())
    }

    /// Removes and returns the eligible request that is next in fair order.
    ///
    /// Within a workspace the first eligible request is taken. This avoids
    /// head-of-line blocking by a request for a busy model. Requests whose deadline
    /// has passed are left for [`Self::expire`].
    pub fn pop(
        &mut self,
        mut eligible: impl FnMut(&WorkspaceName, &T) -> bool,
        now: Instant,
    ) -> Option<QueuedRequest<T>> {
        for priority in self.priority_order() {
            let Some(queue) = self.queues.get_mut(&priority) else {
                continue;
            };
            if let Some(request) = queue.pop(&mut eligible, &self.external_usage, now) {
                self.count_admission(priority);
                return Some(request);
            }
        }
        None
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        self.take_where(|request| request.deadline <= now)
    }

    /// Removes and returns the requests whose item meets a condition, such as a
    /// disconnected caller.
    pub fn remove(&mut self, mut condition: impl FnMut(&T) -> bool) -> Vec<QueuedRequest<T>> {
        self.take_where(|request| condition(&request.item))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queues.values().map(WeightedQueue::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of waiting requests of each workspace.
    pub fn waiting_by_workspace(&self) -> BTreeMap<WorkspaceName, u32> {
        let mut counts = BTreeMap::new();
        for (workspace, waiting) in self.queues.values().flat_map(WeightedQueue::waiting) {
            let count: &mut u32 = counts.entry(workspace.clone()).or_default();
            *count = count.saturating_add(u32::try_from(waiting).unwrap_or(u32::MAX));
        }
        counts
    }

    /// Estimates how many waiting requests are admitted before a new one.
    pub fn waiting_ahead(
        &self,
        workspace: &WorkspaceName,
        weight: u32,
        priority: Priority,
    ) -> usize {
        let more_urgent = self.queues.range(..priority).map(|(_, queue)| queue.len());
        let same = self.queues.get(&priority);
        let same = same.map_or(0, |queue| queue.waiting_ahead(workspace, weight));
        more_urgent.sum::<usize>() + same
    }

    /// Sets the number of requests that each workspace has in flight at other entries.
    ///
    /// The cost of an admission grows by the number of requests that the workspace
    /// has in flight elsewhere, so that shares hold over all entries.
    pub fn set_external_usage(&mut self, usage: BTreeMap<WorkspaceName, u32>) {
        self.external_usage = usage;
    }

    fn priority_order(&self) -> [Priority; 3] {
        if self.admitted_since_low + 1 >= LOW_PRIORITY_INTERVAL {
            [Priority::Low, Priority::High, Priority::Normal]
        } else {
            Priority::ALL
        }
    }

    fn count_admission(&mut self, priority: Priority) {
        let low_is_waiting = self
            .queues
            .get(&Priority::Low)
            .is_some_and(|queue| queue.len() > 0);
        self.admitted_since_low = match priority {
            Priority::High | Priority::Normal if low_is_waiting => {
                self.admitted_since_low.saturating_add(1)
            }
            Priority::High | Priority::Normal | Priority::Low => 0,
        };
    }

    fn take_where(
        &mut self,
        mut condition: impl FnMut(&QueuedRequest<T>) -> bool,
    ) -> Vec<QueuedRequest<T>> {
        let queues = self.queues.values_mut();
        queues
            .flat_map(|queue| queue.take_where(&mut condition))
            .collect()
    }

    fn waiting_of(&self, workspace: &WorkspaceName) -> usize {
        self.queues
            .values()
            .map(|queue| queue.waiting_of(workspace))
            .sum()
    }
}
