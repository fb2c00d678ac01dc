//! Admission control: decides which request runs next, and on which chain.
//!
//! Requests wait in a fair queue until a chain has a free slot at every stage. A request
//! that cannot be served in time is refused at once, with a time after which to retry
//! (`docs/design/admission.md`).

use std::collections::{BTreeMap, BTreeSet, HashSet};

use parking_lot::Mutex;
use pistachioyard_policy::{Chain, DrainRate, FairQueue, NoChain, QueuedRequest};
use pistachioyard_wire::WorkspaceUsage;
use tokio::sync::{Notify, oneshot};

use super::{GenerateContext, Grant, RouteQuery};
use crate::prelude::*;

/// How long a request may wait for admission, in milliseconds; the rest of the first-token
/// objective is left for the prefill.
const MAX_WAIT_MS: u64 = 1_200;
/// The maximum number of requests that wait at one entry.
const MAX_WAITING: usize = 4_096;
/// How often the queue is processed while nothing wakes it, in milliseconds.
const QUEUE_CHECK_INTERVAL_MS: u64 = 20;
/// The shortest retry delay given to a refused caller, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// The time constant of the average completion rate, in milliseconds.
const RATE_TIME_CONSTANT_MS: u64 = 2_000;

struct Waiter {
    query: RouteQuery,
    reply: oneshot::Sender<Result<Grant, Problem>>,
}

/// Holds the queue of this entry and its requests in progress by workspace.
pub(crate) struct Admission {
    queue: Mutex<FairQueue<Waiter>>,
    pub(super) in_flight: Mutex<BTreeMap<WorkspaceName, u32>>,
    pub(super) rate: Mutex<DrainRate>,
    changed: Notify,
}

impl Admission {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            queue: Mutex::new(FairQueue::new(MAX_WAITING)),
            in_flight: Mutex::new(BTreeMap::new()),
            rate: Mutex::new(DrainRate::new(Duration::from_millis(RATE_TIME_CONSTANT_MS))),
            changed: Notify::new(),
        }
    }

    /// Wakes the task that processes the queue.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.lock().len()
    }

    /// Returns the number of requests that each workspace has in progress and waiting here.
    pub(crate) fn usage(&self) -> BTreeMap<WorkspaceName, WorkspaceUsage> {
        let mut usage: BTreeMap<WorkspaceName, WorkspaceUsage> = BTreeMap::new();
        for (workspace, in_flight) in self.in_flight.lock().iter() {
            usage.entry(workspace.clone()).or_default().in_flight = *in_flight;
        }
        for (workspace, waiting) in self.queue.lock().waiting_by_workspace() {
            usage.entry(workspace).or_default().waiting = waiting;
        }
        usage
    }

    /// Processes the queue whenever it is woken, and at every interval.
    pub(crate) async fn run(node: Arc<Node>) {
        loop {
            let pause = Duration::from_millis(QUEUE_CHECK_INTERVAL_MS);
            let _ = tokio::time::timeout(pause, node.admission.changed.notified()).await;
            Self::process_queue(&node);
        }
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Fails if the workspace is at its limit, if no endpoints cover the model, or if no chain is
    /// free in time.
    pub(crate) async fn admit(
        node: &Arc<Node>,
        cx: &GenerateContext,
        now: Instant,
    ) -> Result<Grant, Problem> {
        check_workspace_limit(node, cx)?;
        let wait = cx.call.deadline.min(Duration::from_millis(MAX_WAIT_MS));
        let (reply, granted) = oneshot::channel();
        let queued = QueuedRequest {
            workspace: cx.call.workspace.clone(),
            weight: cx.workspace.weight,
            priority: cx.priority,
            deadline: now + wait,
            item: Waiter {
                query: RouteQuery::new(cx),
                reply,
            },
        };
        if Self::would_time_out(node, &queued, now) {
            return Err(overloaded(node, now));
        }
        if node.admission.queue.lock().push(queued, now).is_err() {
            return Err(overloaded(node, now));
        }
        Self::process_queue(node);
        granted.await.unwrap_or_else(|_| Err(overloaded(node, now)))
    }

    /// Tells whether a request would pass its deadline at the current completion rate.
    fn would_time_out(node: &Node, queued: &QueuedRequest<Waiter>, now: Instant) -> bool {
        let ahead = node.admission.queue.lock().waiting_ahead(
            &queued.workspace,
            queued.weight,
            queued.priority,
        );
        let wait = node.admission.rate.lock().estimated_wait(ahead, now);
        now + wait > queued.deadline
    }

    /// Grants chains to waiting requests while there are free slots.
    pub(crate) fn process_queue(node: &Arc<Node>) {
        let now = Instant::now();
        let mut replies: Vec<(Waiter, Result<Grant, Problem>)> = Vec::new();
        let peer_in_flight = sum_peer_in_flight(node);
        {
            let mut queue = node.admission.queue.lock();
            queue.set_external_usage(peer_in_flight);
            for queued in queue.expire(now) {
                replies.push((queued.item, Err(overloaded(node, now))));
            }
            let mut full_models: HashSet<ModelName> = HashSet::new();
            loop {
                let mut chosen = None;
                let queued = queue.pop(
                    |_, waiter| try_route(node, waiter, &mut full_models, &mut chosen, now),
                    now,
                );
                let Some(queued) = queued else { break };
                let outcome = match chosen {
                    Some(Ok(chain)) => Ok(Grant::new(node, queued.workspace, chain.stages)),
                    Some(Err(reason)) => Err(no_capacity(&queued.item.query, reason)),
                    None => continue,
                };
                replies.push((queued.item, outcome));
            }
        }
        for (waiter, outcome) in replies {
            // If the caller is gone, the returned grant is dropped and releases its slots.
            let _ = waiter.reply.send(outcome);
        }
    }
}

/// Tells whether a waiter leaves the queue; `chosen` is then its chain or its refusal.
///
/// A waiter whose caller is gone leaves the queue with neither.
fn try_route(
    node: &Node,
    waiter: &Waiter,
    full_models: &mut HashSet<ModelName>,
    chosen: &mut Option<Result<Chain, NoChain>>,
    now: Instant,
) -> bool {
    if waiter.reply.is_closed() {
        return true;
    }
    if full_models.contains(&waiter.query.model) {
        return false;
    }
    match waiter.query.choose(node, &BTreeSet::new(), now) {
        Ok(chain) if !chain.has_free_slots => {
            full_models.insert(waiter.query.model.clone());
            false
        }
        outcome => {
            *chosen = Some(outcome);
            true
        }
    }
}

/// Returns the number of requests that each workspace has in progress at peers, so that fair
/// shares apply across all entries.
fn sum_peer_in_flight(node: &Node) -> BTreeMap<WorkspaceName, u32> {
    let mut totals = BTreeMap::new();
    for usage in node.peer_usage.lock().values() {
        for (workspace, usage) in usage.iter().filter(|(_, usage)| usage.in_flight > 0) {
            let total: &mut u32 = totals.entry(workspace.clone()).or_default();
            *total = total.saturating_add(usage.in_flight);
        }
    }
    totals
}

fn check_workspace_limit(node: &Node, cx: &GenerateContext) -> Result<(), Problem> {
    let workspace = &cx.call.workspace;
    let own = node
        .admission
        .in_flight
        .lock()
        .get(workspace)
        .copied()
        .unwrap_or(0);
    let peer_in_flight: u32 = node
        .peer_usage
        .lock()
        .values()
        .filter_map(|usage| usage.get(workspace))
        .map(|usage| usage.in_flight)
        .sum();
    let limit = cx.workspace.max_in_flight;
    if own + peer_in_flight < limit {
        return Ok(());
    }
    let detail = format!(
        "the workspace '{workspace}' has reached its limit of {limit} requests in progress"
    );
    let problem = Problem::new(ProblemKind::WorkspaceLimit, Outcome::NotRun, detail);
    Err(problem.with_retry_after_ms(retry_after_ms(node, Instant::now())))
}

fn overloaded(node: &Node, now: Instant) -> Problem {
    let detail = "no chain becomes free in time; retry later";
    Problem::new(ProblemKind::Overloaded, Outcome::NotRun, detail)
        .with_retry_after_ms(retry_after_ms(node, now))
}

fn no_capacity(query: &RouteQuery, reason: NoChain) -> Problem {
    let detail = format!("cannot run model '{}': {reason}", query.model);
    Problem::new(ProblemKind::NoCapacity, Outcome::NotRun, detail).with_retry_after_ms(1_000)
}

/// Estimates the time after which a refused request could be served, in milliseconds.
fn retry_after_ms(node: &Node, now: Instant) -> u64 {
    let wait = node.admission.rate.lock().estimated_wait(1, now);
    (wait.as_millis() as u64).clamp(MIN_RETRY_AFTER_MS, MAX_WAIT_MS)
}
