//! Polls the reports and cache events of endpoints.
//!
//! A report holds the load and the layers of an endpoint, and whether it is draining. Each
//! endpoint is polled by one entry, and by others only if its reports get too old. All other
//! entries learn of the reports by gossip (`docs/design/reports.md`). An endpoint that misses
//! one report is avoided where others can do its work. One that misses two, or refuses
//! connections, gets no new work until it reports again.

mod pending;
mod pollers;

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;

pub(crate) use self::pending::PendingReports;
use self::pollers::Pollers;
use crate::error::CallError;
use crate::prelude::*;

/// How often an entry looks for endpoints that are due for a poll, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How long an endpoint may take to answer a poll, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 600;
/// The consecutive missed reports after which an endpoint counts as dead.
const MISSES_UNTIL_DEAD: u32 = 2;

#[derive(Default)]
struct MissCounts(Mutex<HashMap<EndpointId, u32>>);

/// Polls reports and cache events at every interval.
pub(crate) async fn run(node: Arc<Node>) {
    let misses = Arc::new(MissCounts::default());
    let mut ticks = tokio::time::interval(Duration::from_millis(REPORT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (endpoint, address) in due_reports(&node) {
            tokio::spawn(poll(node.clone(), misses.clone(), endpoint, address));
        }
        for query in due_cache_events(&node) {
            tokio::spawn(read_cache_events(node.clone(), query));
        }
    }
}

fn due_reports(node: &Node) -> Vec<(EndpointId, SocketAddr)> {
    let now = Instant::now();
    let pollers = Pollers::new(&node.settings.entry, &node.membership.lock(), now);
    let fleet = node.fleet.lock();
    let due = fleet.endpoints().filter(|view| pollers.is_due(view, now));
    due.map(|view| (view.id().clone(), view.address()))
        .collect()
}

async fn poll(node: Arc<Node>, misses: Arc<MissCounts>, endpoint: EndpointId, address: SocketAddr) {
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS);
    let asked_at = Instant::now();
    match node.engines.report(address, timeout).await {
        Ok(report) => {
            misses.0.lock().remove(&endpoint);
            node.fleet.lock().apply_report(report, asked_at);
            node.unsent_reports.lock().add(endpoint);
            node.admission.wake();
        }
        // Nothing was learned of the endpoint.
        Err(CallError::Shortage { .. }) => {}
        Err(error) => {
            let missed = {
                let mut misses = misses.0.lock();
                let missed = misses.entry(endpoint.clone()).or_default();
                *missed += 1;
                *missed
            };
            let is_dead = matches!(error, CallError::NotSent { .. }) || missed >= MISSES_UNTIL_DEAD;
            let now = Instant::now();
            let mut fleet = node.fleet.lock();
            if is_dead {
                spdlog::debug!("reports: {endpoint} does not answer: {error}");
                fleet.note_unreachable(&endpoint, now);
            } else {
                fleet.note_suspect(&endpoint, now);
            }
        }
    }
}

/// Selects the cache events to read: those of one run of an endpoint after a sequence number.
struct CacheEventQuery {
    endpoint: EndpointId,
    address: SocketAddr,
    boot: BootId,
    after: u64,
}

fn due_cache_events(node: &Node) -> Vec<CacheEventQuery> {
    let fleet = node.fleet.lock();
    let prefixes = node.prefixes.lock();
    let queries = fleet.endpoints().filter_map(|view| {
        let report = view.report()?;
        let after = prefixes.last_seq(view.id(), report.boot);
        (report.cache_seq != after).then(|| CacheEventQuery {
            endpoint: view.id().clone(),
            address: view.address(),
            boot: report.boot,
            after,
        })
    });
    queries.collect()
}

async fn read_cache_events(node: Arc<Node>, query: CacheEventQuery) {
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS);
    let read = node
        .engines
        .cache_events(query.address, query.after, timeout)
        .await;
    if let Ok(events) = read {
        node.prefixes
            .lock()
            .apply(&query.endpoint, query.boot, &events);
    }
}
