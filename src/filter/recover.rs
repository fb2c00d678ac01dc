//! Decides how a stream continues after an attempt that did not complete the answer.

use std::collections::BTreeSet;

use pistachioyard_policy::{Chain, QuarantineVerdict};

use super::dispatch::{AttemptEnd, Generation};
use super::suspect::{self, Reservation};
use crate::prelude::*;

/// How long a stream waits for endpoints that replace lost ones, in milliseconds.
const REPLACEMENT_WAIT_MS: u64 = 5_000;
/// How long a suspect waits for endpoints of its own, in milliseconds; where few endpoints
/// are left, suspects run one after the other.
const SUSPECT_WAIT_MS: u64 = 20_000;
/// The number of superseded attempts after which a stream that has sent tokens ends here;
/// its caller then reads it at another entry.
const MAX_SUPERSEDED: u32 = 3;
/// How long a superseded stream waits before it starts another attempt, in milliseconds.
const SUPERSEDED_PAUSE_MS: u64 = 100;
/// How often a waiting stream looks for a chain, in milliseconds.
const CHAIN_POLL_MS: u64 = 20;

/// Says what follows an attempt.
pub(crate) enum NextStep {
    /// The stream is retried on the chain that the grant now holds.
    Retry,
    /// The request ends with this problem.
    GiveUp(Problem),
}

/// Records the end of an attempt, and finds a chain for the next one.
pub(crate) async fn next_chain(generation: &mut Generation, end: AttemptEnd) -> NextStep {
    let reason = record_end(generation, &end).await;
    crate::metric::retry(reason);
    generation.reservation = None;
    if let QuarantineVerdict::Quarantined { retry_after } = verdict(generation) {
        return give_up_quarantined(generation, retry_after);
    }
    if matches!(end, AttemptEnd::OldAttempt) {
        return handle_superseded(generation).await;
    }
    // A stream that its caller already reads matters more than one that has not begun, so only
    // the latter spends from the retry budget.
    let model = &generation.cx.call.model;
    if !generation.has_started && !generation.node.model_retries.lock().try_retry(model) {
        return NextStep::GiveUp(generation.problem(
            ProblemKind::RefusedByEndpoints,
            "no endpoint confirmed the start of the request and the retry budget is used up",
        ));
    }
    wait_for_chain(generation).await
}

/// Decides whether a stream whose attempt was superseded continues here.
///
/// The newer attempt comes from another entry. If it has just begun, the caller has resumed
/// the stream there and no longer reads it here, unless the caller has also left the other
/// entry. A stream that has not sent a token may itself be the resumed one, with an attempt
/// number that is too low, so it always continues (`docs/design/streams.md`).
async fn handle_superseded(generation: &mut Generation) -> NextStep {
    if generation.last_token_at.is_none() {
        return NextStep::Retry;
    }
    generation.superseded_count += 1;
    if generation.superseded_count >= MAX_SUPERSEDED {
        return NextStep::GiveUp(generation.problem(
            ProblemKind::ChainLost,
            "the stream was resumed at another entry; read it there or resume it again",
        ));
    }
    tokio::time::sleep(Duration::from_millis(SUPERSEDED_PAUSE_MS)).await;
    NextStep::Retry
}

/// Records how an attempt ended; returns the retry reason as a metric label.
async fn record_end(generation: &mut Generation, end: &AttemptEnd) -> &'static str {
    let now = Instant::now();
    match end {
        AttemptEnd::Lost(endpoint) => {
            generation.lost_at.get_or_insert(now);
            generation.exclude.insert(endpoint.clone());
            suspect::record_loss(&generation.node, endpoint).await;
            "stage_lost"
        }
        AttemptEnd::NotReached(endpoint) => {
            generation.exclude.insert(endpoint.clone());
            let mut fleet = generation.node.fleet.lock();
            fleet.note_unreachable(endpoint, now);
            "not_reached"
        }
        AttemptEnd::Short(endpoint) => {
            generation.exclude.insert(endpoint.clone());
            "not_reached"
        }
        AttemptEnd::Refused(endpoint) => {
            generation.exclude.insert(endpoint.clone());
            let mut fleet = generation.node.fleet.lock();
            fleet.note_suspect(endpoint, now);
            "refused"
        }
        AttemptEnd::LinkStalled(from, to) => {
            generation.lost_at.get_or_insert(now);
            let mut fleet = generation.node.fleet.lock();
            fleet.set_degraded_link(from, to, now);
            "link_stalled"
        }
        AttemptEnd::OldAttempt
        | AttemptEnd::Complete
        | AttemptEnd::CallerGone
        | AttemptEnd::DeadlinePassed => "old_attempt",
    }
}

fn verdict(generation: &Generation) -> QuarantineVerdict {
    let digest = generation.cx.call.digest;
    generation
        .node
        .quarantine
        .lock()
        .verdict(digest, Instant::now())
}

fn give_up_quarantined(generation: &Generation, retry_after: Duration) -> NextStep {
    spdlog::warn!("quarantine: a request crashed two endpoints and is refused");
    generation.node.peers.push_gossip(&generation.node);
    NextStep::GiveUp(suspect::quarantined(Outcome::Failed, retry_after))
}

/// Waits for a chain; a suspect waits for one that no other suspect uses.
async fn wait_for_chain(generation: &mut Generation) -> NextStep {
    generation.query.keep = generation
        .grant
        .stages()
        .iter()
        .map(|stage| (stage.endpoint.clone(), stage.layers))
        .collect();
    let started_at = Instant::now();
    loop {
        let (chain, wait_ms) = match verdict(generation) {
            QuarantineVerdict::Quarantined { retry_after } => {
                return give_up_quarantined(generation, retry_after);
            }
            QuarantineVerdict::Suspect { .. } => (reserve_chain(generation).await, SUSPECT_WAIT_MS),
            QuarantineVerdict::Clear | QuarantineVerdict::OnTrial { .. } => (
                choose_chain(generation, &BTreeSet::new()),
                REPLACEMENT_WAIT_MS,
            ),
        };
        let give_up_at = started_at + Duration::from_millis(wait_ms);
        if let Some(chain) = chain {
            generation.grant.replace(chain.stages);
            return NextStep::Retry;
        }
        if Instant::now() >= give_up_at.min(generation.deadline) {
            return NextStep::GiveUp(no_chain(generation));
        }
        tokio::time::sleep(Duration::from_millis(CHAIN_POLL_MS)).await;
        // An excluded endpoint may be the only one left that holds its layers, so it is tried
        // again once the fleet view shows it as usable.
        let node = generation.node.clone();
        let fleet = node.fleet.lock();
        let now = Instant::now();
        generation
            .exclude
            .retain(|endpoint| !fleet.is_usable(endpoint, now));
    }
}

/// Reserves a chain that no other suspect uses, at this entry or at peers.
async fn reserve_chain(generation: &mut Generation) -> Option<Chain> {
    let node = generation.node.clone();
    let digest = generation.cx.call.digest;
    if node.suspects.is_at_peer(digest) {
        return None;
    }
    let chain = choose_chain(generation, &Reservation::all_endpoints(&node))?;
    let endpoints: Vec<EndpointId> = chain.stages.iter().map(|s| s.endpoint.clone()).collect();
    let reservation = Reservation::reserve(&node, digest, &endpoints).await?;
    if !suspect::all_stages_answer(&node, &chain.stages).await {
        return None;
    }
    // Gossip received during the wait may have cleared or quarantined the request.
    if !matches!(verdict(generation), QuarantineVerdict::Suspect { .. }) {
        return None;
    }
    generation.reservation = Some(reservation);
    Some(chain)
}

fn choose_chain(generation: &Generation, reserved: &BTreeSet<EndpointId>) -> Option<Chain> {
    let exclude: BTreeSet<EndpointId> = generation.exclude.union(reserved).cloned().collect();
    generation
        .query
        .choose(&generation.node, &exclude, Instant::now())
        .ok()
}

fn no_chain(generation: &Generation) -> Problem {
    let kind = if generation.may_have_run {
        ProblemKind::ChainLost
    } else {
        ProblemKind::NoCapacity
    };
    generation.problem(
        kind,
        "no available endpoints cover the model's layers; retry later",
    )
}
