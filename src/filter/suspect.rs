//! Isolates requests that may have crashed an endpoint, and refuses quarantined ones.
//!
//! A request is a suspect if an endpoint of its chain crashed before the attempt produced a
//! token. Suspects share no endpoint with each other, so that a second crash identifies the
//! one that caused it and clears the others (`docs/design/quarantine.md`).

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pistachioyard_policy::{CrashProbe, CrashVerdict, QuarantineVerdict, judge_crash};
use pistachioyard_wire::{RequestDigest, StageRef};

use crate::error::CallError;
use crate::prelude::*;

/// The retry delay given to callers while the same request is a suspect, in milliseconds.
const SUSPECT_RETRY_MS: u64 = 1_000;
/// How long an endpoint may take to answer a probe for a crash, in milliseconds.
const CRASH_PROBE_TIMEOUT_MS: u64 = 250;
/// The interval between two such probes, in milliseconds.
const CRASH_PROBE_INTERVAL_MS: u64 = 150;
/// How long gossip takes to reach the peers, in milliseconds.
const GOSSIP_MS: u64 = 150;
/// How long to wait for gossip about the suspects of peers before a suspect runs here, in
/// milliseconds. A peer that has just lost an endpoint under the same request may still be probing.
const PEER_GOSSIP_WAIT_MS: u64 = CRASH_PROBE_INTERVAL_MS + CRASH_PROBE_TIMEOUT_MS + GOSSIP_MS;

/// Refuses a new request if it is quarantined, or a suspect that is being retried.
pub(crate) fn refuse_suspects(node: &Node, digest: RequestDigest) -> Result<(), Problem> {
    let verdict = node.quarantine.lock().verdict(digest, Instant::now());
    match verdict {
        QuarantineVerdict::Clear if node.suspects.contains(digest) => {
            Err(retried_elsewhere(Outcome::NotRun))
        }
        QuarantineVerdict::Clear | QuarantineVerdict::OnTrial { .. } => Ok(()),
        QuarantineVerdict::Suspect { .. } => Err(retried_elsewhere(Outcome::NotRun)),
        QuarantineVerdict::Quarantined { retry_after } => {
            Err(quarantined(Outcome::NotRun, retry_after))
        }
    }
}

/// Returns the problem for a request that is being retried for another caller.
pub(crate) fn retried_elsewhere(outcome: Outcome) -> Problem {
    let detail =
        "the same request was running when an endpoint crashed and is being retried; retry later";
    Problem::new(ProblemKind::Quarantined, outcome, detail).with_retry_after_ms(SUSPECT_RETRY_MS)
}

/// Returns the problem for a request that is quarantined because it crashes endpoints.
pub(crate) fn quarantined(outcome: Outcome, retry_after: Duration) -> Problem {
    let detail =
        "the request crashed two endpoints and is quarantined; change it before sending it again";
    Problem::new(ProblemKind::Quarantined, outcome, detail)
        .with_retry_after_ms(retry_after.as_millis() as u64)
}

/// Records the loss of an endpoint, and sends new suspects to peers before any retry.
///
/// An endpoint counts as crashed only if it restarted or no longer accepts or keeps
/// connections. One that still runs, or whose state is unknown, is only lost.
pub(crate) async fn record_loss(node: &Arc<Node>, endpoint: &EndpointId) {
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
    let _check = CrashCheck::begin(node, endpoint);
    if !has_crashed(node, address, boot).await {
        return;
    }
    let running = node.streams.mark_suspects(endpoint);
    if !running.is_empty() {
        spdlog::warn!(
            "quarantine: {endpoint} crashed while it ran {} suspect requests",
            running.len()
        );
        node.quarantine
            .lock()
            .record_crash(&running, boot, Instant::now());
        node.peers.push_gossip(node);
    }
}

/// Keeps other copies of requests that may have crashed an endpoint from running, here and at
/// peers, until it is dropped.
struct CrashCheck {
    node: Arc<Node>,
    digests: Vec<RequestDigest>,
}

impl CrashCheck {
    fn begin(node: &Arc<Node>, endpoint: &EndpointId) -> Self {
        let mut digests = node.streams.possible_suspects(endpoint);
        digests.retain(|digest| node.suspects.begin_check(*digest));
        if !digests.is_empty() {
            node.peers.push_gossip(node);
        }
        let node = node.clone();
        Self { node, digests }
    }
}

impl Drop for CrashCheck {
    fn drop(&mut self) {
        for digest in &self.digests {
            self.node.suspects.end(*digest);
        }
    }
}

/// Returns whether the endpoint run at an address no longer answers.
async fn has_crashed(node: &Node, address: SocketAddr, boot: BootId) -> bool {
    let timeout = Duration::from_millis(CRASH_PROBE_TIMEOUT_MS);
    let mut probes = Vec::new();
    loop {
        match judge_crash(&probes) {
            CrashVerdict::Crashed => return true,
            CrashVerdict::NotCrashed => return false,
            CrashVerdict::ProbeAgain if probes.is_empty() => {}
            CrashVerdict::ProbeAgain => {
                tokio::time::sleep(Duration::from_millis(CRASH_PROBE_INTERVAL_MS)).await;
            }
        }
        probes.push(match node.engines.report(address, timeout).await {
            Ok(report) if report.boot == boot => CrashProbe::SameRun,
            Ok(_) => CrashProbe::OtherRun,
            Err(CallError::NotSent { .. }) => CrashProbe::Refused,
            Err(CallError::AnswerLost { .. }) => CrashProbe::Lost,
            Err(_) => CrashProbe::Unknown,
        });
    }
}

/// Tells whether every stage answers a probe; a stage that does not answer gets no new work.
///
/// A suspect runs only if all do. Otherwise an endpoint that was lost at the same time as
/// the first one would count as a second crash.
pub(crate) async fn all_stages_answer(node: &Node, stages: &[StageRef]) -> bool {
    let timeout = Duration::from_millis(CRASH_PROBE_TIMEOUT_MS);
    let probes = stages.iter().map(|stage| async move {
        let report = node.engines.report(stage.address, timeout).await;
        let answers = report.is_ok();
        if !answers && !matches!(report, Err(CallError::Shortage { .. })) {
            let mut fleet = node.fleet.lock();
            fleet.note_unreachable(&stage.endpoint, Instant::now());
        }
        answers
    });
    let answers = futures_util::future::join_all(probes).await;
    answers.into_iter().all(|answers| answers)
}

/// Reserves endpoints for one suspect across all entries, and releases them when dropped.
pub(crate) struct Reservation {
    node: Arc<Node>,
    digest: RequestDigest,
}

impl Reservation {
    /// Returns the endpoints that are reserved for suspects, here or at peers.
    pub(crate) fn all_endpoints(node: &Node) -> BTreeSet<EndpointId> {
        let mut reserved = node.suspects.reserved_by_peers();
        reserved.extend(node.suspect_reservations.lock().reserved_endpoints());
        reserved
    }

    /// Reserves endpoints for a suspect; returns `None` if one is reserved for another suspect,
    /// or if the same request is already being retried.
    ///
    /// Entries that reserve at the same time learn of each other before either runs its
    /// suspect, and the entry whose name sorts first keeps the reservation.
    pub(crate) async fn reserve(
        node: &Arc<Node>,
        digest: RequestDigest,
        endpoints: &[EndpointId],
    ) -> Option<Self> {
        if !node.suspect_reservations.lock().reserve(digest, endpoints) {
            return None;
        }
        let reservation = Self {
            node: node.clone(),
            digest,
        };
        node.suspects.begin(digest, endpoints);
        node.peers.push_gossip(node);
        tokio::time::sleep(Duration::from_millis(PEER_GOSSIP_WAIT_MS)).await;
        let own = &node.settings.entry;
        let yields = node.suspects.must_yield(own, digest, endpoints);
        (!yields).then_some(reservation)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.node.suspect_reservations.lock().release(self.digest);
        self.node.suspects.end(self.digest);
    }
}
