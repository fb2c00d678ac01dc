//! Runs operations on plain services.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use pistachioyard_policy::ClaimState;
use pistachioyard_wire::{
    EntryState, OperationKey, OperationOutcome, OperationRequest, RequestDigest,
};

use super::claim::{ClaimHold, ClaimOutcome, claim, not_recorded, outcome_of};
use super::identify::RawOperation;
use super::identify_operation;
use crate::error::CallError;
use crate::ledger::LedgerError;
use crate::prelude::*;
use crate::service::{SERVICE_TIMEOUT_MS, ServiceAnswer};

/// The maximum number of endpoints that one call is sent to.
const MAX_TRIES: usize = 3;
/// How long a request with a repeated key waits for the first one's outcome, in milliseconds.
const OUTCOME_WAIT_MS: u64 = 2_000;
/// How often a waiting request looks for an outcome, in milliseconds.
const OUTCOME_POLL_MS: u64 = 100;

/// Runs an operation.
pub(crate) async fn operate(
    node: &Arc<Node>,
    raw: RawOperation<'_>,
) -> Result<OperationOutcome, Problem> {
    let _in_flight = node.lifecycle.begin()?;
    let (req, repeatable) = identify_operation(node, raw)?;
    match req.key {
        Some(key) if !repeatable => operate_at_most_once(node, &req, key).await,
        _ => operate_idempotent(node, &req).await,
    }
}

/// Returns the recorded outcome of an operation.
pub(crate) async fn recorded_outcome(
    node: &Arc<Node>,
    raw_key: &str,
) -> Result<OperationOutcome, Problem> {
    let key = OperationKey::try_from(raw_key)
        .map_err(|e| Problem::new(ProblemKind::BadKey, Outcome::NotRun, e.to_string()))?;
    match node.ledger.read(key).await {
        Ok(Some(claim)) => outcome_of(claim),
        Ok(None) => Err(not_recorded(key)),
        Err(e) => Err(ledger_unreadable(&e)),
    }
}

/// Returns the problem for a ledger that cannot be read; the outcome is unknown.
fn ledger_unreadable(e: &LedgerError) -> Problem {
    spdlog::debug!("ledger: cannot read a claim: {e}");
    Problem::new(
        ProblemKind::LedgerUnavailable,
        Outcome::Unknown,
        "the platform does not answer, so the outcome of the operation cannot be read; retry later",
    )
    .with_retry_after_ms(1_000)
}

async fn operate_at_most_once(
    node: &Arc<Node>,
    req: &OperationRequest,
    key: OperationKey,
) -> Result<OperationOutcome, Problem> {
    let digest = RequestDigest::of(&[
        req.workspace.as_str().as_bytes(),
        req.service.as_str().as_bytes(),
        req.call.as_str().as_bytes(),
        &req.body,
    ]);
    let give_up_at = Instant::now() + Duration::from_millis(OUTCOME_WAIT_MS);
    let mut last_claim = None;
    loop {
        // A key that was released in the meantime is claimed by this request.
        let held = match (claim(node, key, digest).await, last_claim) {
            (Ok(ClaimOutcome::Held(hold)), _) => return send_once(node, req, hold).await,
            (Ok(ClaimOutcome::HeldElsewhere(held)), _) => held,
            // Another request may have sent the call, so the outcome is not "not run".
            (Err(_), Some(held)) => return outcome_of(held),
            (Err(problem), None) => return Err(problem),
        };
        let is_open = held.state == ClaimState::Claimed;
        if !is_open || Instant::now() >= give_up_at || !is_alive(node, &held.entry) {
            return outcome_of(held);
        }
        last_claim = Some(held);
        tokio::time::sleep(Duration::from_millis(OUTCOME_POLL_MS)).await;
    }
}

fn is_alive(node: &Node, entry: &EntryId) -> bool {
    let membership = node.membership.lock();
    membership.state_of(entry, Instant::now()) != EntryState::Lost
}

/// Sends a claimed call to one endpoint.
///
/// Another endpoint is tried only if the previous one certainly did not run the call.
async fn send_once(
    node: &Arc<Node>,
    req: &OperationRequest,
    hold: ClaimHold,
) -> Result<OperationOutcome, Problem> {
    let mut tried = BTreeSet::new();
    while let Some((endpoint, address)) = next_endpoint(node, req, &tried) {
        if !hold.may_send(Instant::now()) || node.config_for_new_work().is_err() {
            hold.release_later();
            return Err(not_run(
                ProblemKind::DeadlinePassed,
                "the entry was paused or its configuration is stale; the operation did not run",
            ));
        }
        tried.insert(endpoint.clone());
        hold.note_sent();
        match send(node, req, &endpoint, address).await {
            Ok(ServiceAnswer::Ran { status, body }) => {
                let outcome = OperationOutcome {
                    key: req.key,
                    outcome: Outcome::Done,
                    status: Some(status),
                    answer: Some(body),
                    repeated: false,
                };
                hold.settle_later(outcome.clone());
                return Ok(outcome);
            }
            Ok(ServiceAnswer::NotRun)
            | Err(CallError::NotSent { .. } | CallError::Shortage { .. }) => {}
            Err(e) => {
                spdlog::warn!("operate: the result from {endpoint} was lost: {e}");
                return Err(Problem::new(
                    ProblemKind::ResultLost,
                    Outcome::Unknown,
                    "the operation was sent and its result was lost; it may have run once",
                ));
            }
        }
    }
    hold.release_later();
    Err(not_run(
        ProblemKind::NoCapacity,
        "no endpoint of the service accepted the call; retry with the same key",
    ))
}

/// Sends an idempotent call until an endpoint answers.
async fn operate_idempotent(
    node: &Arc<Node>,
    req: &OperationRequest,
) -> Result<OperationOutcome, Problem> {
    node.service_retries.lock().on_first_try(&req.service);
    let mut tried = BTreeSet::new();
    let mut may_have_run = false;
    while let Some((endpoint, address)) = next_endpoint(node, req, &tried) {
        if !tried.is_empty() && !node.service_retries.lock().try_retry(&req.service) {
            break;
        }
        tried.insert(endpoint.clone());
        match send(node, req, &endpoint, address).await {
            Ok(ServiceAnswer::Ran { status, body }) => {
                return Ok(OperationOutcome {
                    key: req.key,
                    outcome: Outcome::Done,
                    status: Some(status),
                    answer: Some(body),
                    repeated: false,
                });
            }
            Ok(ServiceAnswer::NotRun)
            | Err(CallError::NotSent { .. } | CallError::Shortage { .. }) => {}
            Err(e) => {
                spdlog::debug!("operate: the call to {endpoint} failed: {e}");
                may_have_run = true;
            }
        }
    }
    let mut problem = not_run(
        ProblemKind::NoCapacity,
        "no endpoint of the service answered; retry later",
    );
    if may_have_run {
        problem.outcome = Outcome::Failed;
    }
    Err(problem)
}

fn next_endpoint(
    node: &Node,
    req: &OperationRequest,
    tried: &BTreeSet<EndpointId>,
) -> Option<(EndpointId, SocketAddr)> {
    if tried.len() >= MAX_TRIES {
        return None;
    }
    let fleet = node.fleet.lock();
    fleet
        .service_endpoints(&req.service, Instant::now())
        .into_iter()
        .find(|view| !tried.contains(view.id()))
        .map(|view| (view.id().clone(), view.address()))
}

async fn send(
    node: &Node,
    req: &OperationRequest,
    endpoint: &EndpointId,
    address: SocketAddr,
) -> Result<ServiceAnswer, CallError> {
    let timeout = Duration::from_millis(SERVICE_TIMEOUT_MS);
    let body = req.body.clone();
    let answer = node
        .services
        .call(address, &req.call, req.key, body, timeout)
        .await;
    if matches!(answer, Err(CallError::NotSent { .. })) {
        let mut fleet = node.fleet.lock();
        fleet.note_unreachable(endpoint, Instant::now());
    }
    answer
}

fn not_run(kind: ProblemKind, detail: &str) -> Problem {
    Problem::new(kind, Outcome::NotRun, detail).with_retry_after_ms(1_000)
}
