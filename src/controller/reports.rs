//! Reads endpoints' reports and cache events.
//!
//! A report tells load, layers and whether the endpoint is draining. An endpoint
//! that misses one report is avoided where others can do its work; one that
//! misses two, or takes no connections, gets no new work until it reports again.

use std::collections::HashMap;
use std::net::SocketAddr;

use parking_lot::Mutex;

use crate::error::CallError;
use crate::prelude::*;

/// How often each endpoint is asked for its report, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_000;
/// How long an endpoint may take to answer, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 600;
/// The reports missed in a row after which an endpoint is taken for dead.
const MISSES_UNTIL_DEAD: u32 = 2;

#[derive(Default)]
struct Misses(Mutex<HashMap<EndpointId, u32>>);

/// Reads reports for ever.
pub(crate) async fn run(node: Arc<Node>) {
    let misses = Arc::new(Misses::default());
    let mut ticks = tokio::time::interval(Duration::from_millis(REPORT_INTERVAL_MS));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let targets: Vec<(EndpointId, SocketAddr)> = node
            .fleet
            .lock()
            .endpoints()
            .map(|view| (view.id().clone(), view.address()))
            .collect();
        for (endpoint, address) in targets {
            tokio::spawn(poll(node.clone(), misses.clone(), endpoint, address));
        }
    }
}

async fn poll(node: Arc<Node>, misses: Arc<Misses>, endpoint: EndpointId, address: SocketAddr) {
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS);
    let asked_at = Instant::now();
    match node.engines.report(address, timeout).await {
        Ok(report) => {
            misses.0.lock().remove(&endpoint);
            let cache_seq = report.cache_seq;
            let boot = report.boot;
            let known_seq = node.prefixes.lock().last_seq(&endpoint, boot);
            node.fleet.lock().apply_report(report, asked_at);
            node.admission.wake();
            if cache_seq != known_seq {
                read_cache_events(&node, &endpoint, address, boot, known_seq).await;
            }
        }
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

async fn read_cache_events(
    node: &Node,
    endpoint: &EndpointId,
    address: SocketAddr,
    boot: BootId,
    after: u64,
) {
    let timeout = Duration::from_millis(REPORT_TIMEOUT_MS);
    if let Ok(page) = node.engines.cache_events(address, after, timeout).await {
        node.prefixes.lock().apply(endpoint, boot, &page);
    }
}
