//! Admission: who goes next, and over which chain.
//!
//! Requests wait in a fair queue until a chain has free slots at every stage. A
//! request that cannot be served in time is refused at once, with when to come
//! back (`docs/design/admission.md`).

use std::collections::{BTreeMap, BTreeSet, HashSet};

use parking_lot::Mutex;
use pistachioyard_policy::{Chain, DrainRate, FairQueue, NoChain, QueuedRequest};
use pistachioyard_wire::WorkspaceUsage;
use tokio::sync::{Notify, oneshot};

use super::{GenerateContext, Grant, RouteQuery};
use crate::prelude::*;

/// How long a request may wait for admission, in milliseconds; what is left of
/// the first-token objective is for the prefill.
const MAX_WAIT_MS: u64 = 1_200;
/// The most requests that wait at one entry.
const MAX_WAITING: usize = 4_096;
/// How often waiting requests are looked at without any event, in milliseconds.
const PUMP_INTERVAL_MS: u64 = 20;
/// The shortest time after which a refused caller is told to come back, in
/// milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// The time over which the rate of completions is averaged, in milliseconds.
const RATE_TIME_MS: u64 = 2_000;

struct Waiter {
    query: RouteQuery,
    reply: oneshot::Sender<Result<Grant, Problem>>,
}

/// The requests that wait at this entry.
pub(crate) struct Admission {
    queue: Mutex<FairQueue<Waiter>>,
    pub(super) in_flight: Mutex<BTreeMap<WorkspaceName, u32>>,
    pub(super) rate: Mutex<DrainRate>,
    changed: Notify,
}

impl Admission {
    /// Makes an empty queue.
    pub(crate) fn new() -> Self {
        Self {
            queue: Mutex::new(FairQueue::new(MAX_WAITING)),
            in_flight: Mutex::new(BTreeMap::new()),
            rate: Mutex::new(DrainRate::new(Duration::from_millis(RATE_TIME_MS))),
            changed: Notify::new(),
        }
    }

    /// Has the queue looked at soon.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Returns the number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.lock().len()
    }

    /// Returns what each workspace has in progress and waiting here.
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

    /// Looks at the queue whenever something has changed, for ever.
    pub(crate) async fn run(node: Arc<Node>) {
        loop {
            let pause = Duration::from_millis(PUMP_INTERVAL_MS);
            let _ = tokio::time::timeout(pause, node.admission.changed.notified()).await;
            Self::pump(&node);
        }
    }

    /// Waits for the right to run a request.
    pub(crate) async fn admit(
        node: &Arc<Node>,
        cx: &GenerateContext,
        now: Instant,
    ) -> Result<Grant, Problem> {
        check_workspace_limit(node, cx)?;
        let wait = cx.call.deadline.min(Duration::from_millis(MAX_WAIT_MS));
        let (reply, granted) = oneshot::channel();
        let ticket = QueuedRequest {
            workspace: cx.call.workspace.clone(),
            weight: cx.workspace.weight,
            priority: cx.priority,
            deadline: now + wait,
            item: Waiter {
                query: RouteQuery::new(cx),
                reply,
            },
        };
        if Self::is_hopeless(node, &ticket, now) {
            return Err(overloaded(node, now));
        }
        if node.admission.queue.lock().push(ticket, now).is_err() {
            return Err(overloaded(node, now));
        }
        Self::pump(node);
        granted.await.unwrap_or_else(|_| Err(overloaded(node, now)))
    }

    /// Tells whether the present rate cannot serve a request before it gives up.
    fn is_hopeless(node: &Node, ticket: &QueuedRequest<Waiter>, now: Instant) -> bool {
        let ahead = node.admission.queue.lock().waiting_ahead(
            &ticket.workspace,
            ticket.weight,
            ticket.priority,
        );
        let wait = node.admission.rate.lock().estimated_wait(ahead, now);
        now + wait > ticket.deadline
    }

    /// Grants chains to waiting requests as long as there are free slots.
    pub(crate) fn pump(node: &Arc<Node>) {
        let now = Instant::now();
        let mut settled: Vec<(Waiter, Result<Grant, Problem>)> = Vec::new();
        let at_peers = in_flight_at_peers(node);
        {
            let mut queue = node.admission.queue.lock();
            queue.set_external_usage(at_peers);
            for ticket in queue.expire(now) {
                settled.push((ticket.item, Err(overloaded(node, now))));
            }
            let mut full: HashSet<ModelName> = HashSet::new();
            loop {
                let mut chosen = None;
                let ticket = queue.pop(
                    |_, waiter| select(node, waiter, &mut full, &mut chosen, now),
                    now,
                );
                let Some(ticket) = ticket else { break };
                let outcome = match chosen {
                    Some(Ok(chain)) => Ok(Grant::new(node, ticket.workspace, chain.stages)),
                    Some(Err(why)) => Err(no_capacity(&ticket.item.query, why)),
                    None => continue,
                };
                settled.push((ticket.item, outcome));
            }
        }
        for (waiter, outcome) in settled {
            // A grant whose request has gone gives its slots back on drop.
            let _ = waiter.reply.send(outcome);
        }
    }
}

/// Decides whether a waiter's turn ends its wait, with a chain or a refusal.
fn select(
    node: &Node,
    waiter: &Waiter,
    full: &mut HashSet<ModelName>,
    chosen: &mut Option<Result<Chain, NoChain>>,
    now: Instant,
) -> bool {
    if waiter.reply.is_closed() {
        return true;
    }
    if full.contains(&waiter.query.model) {
        return false;
    }
    match waiter.query.choose(node, &BTreeSet::new(), now) {
        Ok(chain) if !chain.has_free_slots => {
            full.insert(waiter.query.model.clone());
            false
        }
        outcome => {
            *chosen = Some(outcome);
            true
        }
    }
}

/// Returns what each workspace has in progress at the peers, so that shares hold
/// over all entries.
fn in_flight_at_peers(node: &Node) -> BTreeMap<WorkspaceName, u32> {
    let mut sums = BTreeMap::new();
    for usage in node.peer_usage.lock().values() {
        for (workspace, usage) in usage.iter().filter(|(_, usage)| usage.in_flight > 0) {
            let sum: &mut u32 = sums.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(usage.in_flight);
        }
    }
    sums
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
    let at_peers: u32 = node
        .peer_usage
        .lock()
        .values()
        .filter_map(|usage| usage.get(workspace))
        .map(|usage| usage.in_flight)
        .sum();
    let limit = cx.workspace.max_in_flight;
    if own + at_peers < limit {
        return Ok(());
    }
    let detail = format!("the workspace '{workspace}' has its limit of {limit} in progress");
    let problem = Problem::new(ProblemKind::WorkspaceLimit, Outcome::NotRun, detail);
    Err(problem.with_retry_after_ms(retry_after_ms(node, Instant::now())))
}

fn overloaded(node: &Node, now: Instant) -> Problem {
    let detail = "no chain is free in time; come back later";
    Problem::new(ProblemKind::Overloaded, Outcome::NotRun, detail)
        .with_retry_after_ms(retry_after_ms(node, now))
}

fn no_capacity(query: &RouteQuery, why: NoChain) -> Problem {
    let detail = format!("model '{}' cannot be run now: {why}", query.model);
    Problem::new(ProblemKind::NoCapacity, Outcome::NotRun, detail).with_retry_after_ms(1_000)
}

/// Estimates when a refused request would be served.
fn retry_after_ms(node: &Node, now: Instant) -> u64 {
    let wait = node.admission.rate.lock().estimated_wait(1, now);
    (wait.as_millis() as u64).clamp(MIN_RETRY_AFTER_MS, MAX_WAIT_MS)
}
