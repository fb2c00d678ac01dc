//! Requests that crash endpoints.
//!
//! A request whose attempt had produced no token when its endpoint crashed is a
//! suspect. Suspects run on endpoints apart from each other, so that a second
//! crash convicts one of them and clears the rest (`docs/design/quarantine.md`).

use std::collections::BTreeSet;

use pistachioyard_policy::QuarantineVerdict;
use pistachioyard_wire::{RequestDigest, StageRef};

use crate::error::CallError;
use crate::prelude::*;

/// When to come back while a request's suspicion is being settled, in milliseconds.
const SUSPECT_RETRY_MS: u64 = 1_000;
/// How long a lost endpoint may take to show whether it still runs, in milliseconds.
const CRASH_PROBE_TIMEOUT_MS: u64 = 250;
/// How long peers get to tell of their suspects before one runs here, in
/// milliseconds.
const PEER_NEWS_MS: u64 = 150;

/// Refuses a new request that is convicted, or that is being tried elsewhere.
pub(crate) fn refuse_suspects(node: &Node, digest: RequestDigest) -> Result<(), Problem> {
    match node.quarantine.lock().verdict(digest, Instant::now()) {
        QuarantineVerdict::Clear => Ok(()),
        QuarantineVerdict::Suspect { .. } => Err(tried_elsewhere(Outcome::NotRun)),
        QuarantineVerdict::Quarantined { retry_after } => {
            Err(convicted(Outcome::NotRun, retry_after))
        }
    }
}

/// Says that the same request is being tried again by someone else.
pub(crate) fn tried_elsewhere(outcome: Outcome) -> Problem {
    let detail = "the same request has just lost its endpoint and is being tried again; come back";
    Problem::new(ProblemKind::Quarantined, outcome, detail).with_retry_after_ms(SUSPECT_RETRY_MS)
}

/// Says that a request crashes the endpoints that run it.
pub(crate) fn convicted(outcome: Outcome, retry_after: Duration) -> Problem {
    let detail = "the request crashed two endpoints and is refused for a while; change it";
    Problem::new(ProblemKind::Quarantined, outcome, detail)
        .with_retry_after_ms(retry_after.as_millis() as u64)
}

/// Records the loss of an endpoint; peers hear of suspects before any retry.
///
/// An endpoint that still runs, or whose state cannot be seen, is lost but has
/// not crashed.
pub(crate) async fn note_loss(node: &Arc<Node>, endpoint: &EndpointId) {
    let known = {
        let mut fleet = node.fleet.lock();
        let known = fleet
            .get(endpoint)
            .map(|view| (view.address(), view.boot()));
        fleet.note_unreachable(endpoint, Instant::now());
        known
    };
    let Some((address, Some(boot))) = known else {
        return;
    };
    let timeout = Duration::from_millis(CRASH_PROBE_TIMEOUT_MS);
    let has_crashed = match node.engines.report(address, timeout).await {
        Ok(report) => report.boot != boot,
        Err(CallError::NotSent { .. } | CallError::AnswerLost { .. }) => true,
        Err(_) => false,
    };
    if !has_crashed {
        return;
    }
    let running = node.streams.mark_suspects(endpoint);
    if !running.is_empty() {
        spdlog::warn!(
            "quarantine: {endpoint} crashed with {} unproven requests",
            running.len()
        );
        node.quarantine
            .lock()
            .record_crash(&running, boot, Instant::now());
        node.peers.push_gossip(node);
    }
}

/// Tells whether every stage answers now; those that do not get no new work.
///
/// A suspect runs only where this holds, so that an endpoint that was lost with
/// others at the same time does not count as a second crash.
pub(crate) async fn all_answer(node: &Node, stages: &[StageRef]) -> bool {
    let timeout = Duration::from_millis(CRASH_PROBE_TIMEOUT_MS);
    let asks = stages.iter().map(|stage| async move {
        let answers = node.engines.report(stage.address, timeout).await.is_ok();
        if !answers {
            let mut fleet = node.fleet.lock();
            fleet.note_unreachable(&stage.endpoint, Instant::now());
        }
        answers
    });
    let answers = futures_util::future::join_all(asks).await;
    answers.into_iter().all(|answers| answers)
}

/// Keeps a suspect's endpoints apart from those of other suspects at all entries.
pub(crate) struct Lane {
    node: Arc<Node>,
    digest: RequestDigest,
}

impl Lane {
    /// Returns the endpoints that other suspects are on.
    pub(crate) fn busy(node: &Node) -> BTreeSet<EndpointId> {
        let mut busy = node.suspects.reserved_by_peers();
        busy.extend(node.suspect_reservations.lock().reserved_endpoints());
        busy
    }

    /// Reserves endpoints for a suspect; none if another suspect is on them.
    ///
    /// Entries that reserve at the same time hear of each other before either runs
    /// its suspect, and the one whose name comes first goes on.
    pub(crate) async fn reserve(
        node: &Arc<Node>,
        digest: RequestDigest,
        endpoints: &[EndpointId],
    ) -> Option<Self> {
        if !node.suspect_reservations.lock().reserve(digest, endpoints) {
            return None;
        }
        let lane = Self {
            node: node.clone(),
            digest,
        };
        node.suspects.begin(digest, endpoints);
        node.peers.push_gossip(node);
        tokio::time::sleep(Duration::from_millis(PEER_NEWS_MS)).await;
        let own = &node.settings.entry;
        let yields = node.suspects.must_yield(own, digest, endpoints);
        (!yields).then_some(lane)
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        self.node.suspect_reservations.lock().release(self.digest);
        self.node.suspects.end(self.digest);
    }
}
