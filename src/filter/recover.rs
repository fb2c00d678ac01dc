//! What to do after an attempt that did not end the answer.

use std::collections::BTreeSet;

use pistachioyard_policy::{Chain, QuarantineVerdict};

use super::dispatch::{AttemptEnd, Generation};
use super::suspect::{self, Lane};
use crate::prelude::*;

/// How long a stream waits for endpoints to take the place of lost ones, in
/// milliseconds.
const REPLACEMENT_WAIT_MS: u64 = 5_000;
/// How long a suspect waits for its turn on endpoints that few are left of, in
/// milliseconds; suspects run one after the other there.
const SUSPECT_WAIT_MS: u64 = 20_000;
/// How often a stream whose caller has tokens from here may be superseded; the
/// caller then reads it elsewhere.
const MAX_SUPERSEDED: u32 = 3;
/// How long such a stream leaves the newer attempt alone, in milliseconds.
const SUPERSEDED_PAUSE_MS: u64 = 100;
/// The pause between two looks for a chain, in milliseconds.
const CHAIN_POLL_MS: u64 = 20;

/// What follows an attempt.
pub(crate) enum NextStep {
    /// The grant holds the chain of the next attempt.
    TryAgain,
    /// The request ends with this problem.
    GiveUp(Problem),
}

/// Finds the chain of the next attempt.
pub(crate) async fn next_chain(generation: &mut Generation, end: AttemptEnd) -> NextStep {
    let reason = note_end(generation, &end).await;
    crate::metric::retry(reason);
    generation.lane = None;
    if let QuarantineVerdict::Quarantined { retry_after } = verdict(generation) {
        return give_up_convicted(generation, retry_after);
    }
    if matches!(end, AttemptEnd::OldAttempt) {
        return after_newer_attempt(generation).await;
    }
    // A stream that callers already see is worth more than a first try, so only
    // attempts that have not begun spend from the retry budget.
    if !generation.has_started && !generation.node.retries.lock().try_retry() {
        return NextStep::GiveUp(generation.problem(
            ProblemKind::RefusedByEndpoints,
            "the endpoints refuse work and too many requests are being tried again",
        ));
    }
    find_chain(generation).await
}

/// Decides whether a stream that a newer attempt has ended goes on here.
///
/// The newer attempt is of another entry. If it has just begun there, its caller
/// has resumed the stream and this one is what the caller has left, unless that
/// caller has gone as well. A stream that has not passed on a token may itself be
/// the resumed one, whose number is too low, and so always goes on
/// (`docs/design/streams.md`).
async fn after_newer_attempt(generation: &mut Generation) -> NextStep {
    if generation.last_token_at.is_none() {
        return NextStep::TryAgain;
    }
    generation.superseded += 1;
    if generation.superseded >= MAX_SUPERSEDED {
        return NextStep::GiveUp(generation.problem(
            ProblemKind::ChainLost,
            "the stream was resumed at another entry; read it there or resume it again",
        ));
    }
    tokio::time::sleep(Duration::from_millis(SUPERSEDED_PAUSE_MS)).await;
    NextStep::TryAgain
}

/// Takes in how the attempt ended; returns the reason as a metric label.
async fn note_end(generation: &mut Generation, end: &AttemptEnd) -> &'static str {
    let now = Instant::now();
    match end {
        AttemptEnd::Lost(endpoint) => {
            generation.lost_at.get_or_insert(now);
            generation.exclude.insert(endpoint.clone());
            suspect::note_loss(&generation.node, endpoint).await;
            "stage_lost"
        }
        AttemptEnd::NotReached(endpoint) => {
            generation.exclude.insert(endpoint.clone());
            let mut fleet = generation.node.fleet.lock();
            fleet.note_unreachable(endpoint, now);
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

fn give_up_convicted(generation: &Generation, retry_after: Duration) -> NextStep {
    spdlog::warn!("quarantine: a request crashed two endpoints and is refused");
    generation.node.peers.push_gossip(&generation.node);
    NextStep::GiveUp(suspect::convicted(Outcome::Failed, retry_after))
}

/// Waits for a chain; a suspect also waits for endpoints of its own.
async fn find_chain(generation: &mut Generation) -> NextStep {
    generation.query.keep = generation
        .grant
        .stages()
        .iter()
        .map(|stage| (stage.endpoint.clone(), stage.layers))
        .collect();
    let began_at = Instant::now();
    loop {
        let (chain, wait_ms) = match verdict(generation) {
            QuarantineVerdict::Quarantined { retry_after } => {
                return give_up_convicted(generation, retry_after);
            }
            QuarantineVerdict::Suspect { .. } => (reserve_chain(generation).await, SUSPECT_WAIT_MS),
            QuarantineVerdict::Clear => (choose(generation, &BTreeSet::new()), REPLACEMENT_WAIT_MS),
        };
        let give_up_at = began_at + Duration::from_millis(wait_ms);
        if let Some(chain) = chain {
            generation.grant.replace(chain.stages);
            return NextStep::TryAgain;
        }
        if Instant::now() >= give_up_at.min(generation.deadline) {
            return NextStep::GiveUp(no_chain(generation));
        }
        tokio::time::sleep(Duration::from_millis(CHAIN_POLL_MS)).await;
        // An endpoint that was given up on may be the only one left that holds
        // its layers; the view knows whether it answers again.
        let node = generation.node.clone();
        let fleet = node.fleet.lock();
        let now = Instant::now();
        generation
            .exclude
            .retain(|endpoint| !fleet.is_usable(endpoint, now));
    }
}

/// Chooses a chain on which no other suspect runs, at any entry.
async fn reserve_chain(generation: &mut Generation) -> Option<Chain> {
    let node = generation.node.clone();
    let digest = generation.cx.call.digest;
    if node.suspects.is_at_peer(digest) {
        return None;
    }
    let chain = choose(generation, &Lane::busy(&node))?;
    let endpoints: Vec<EndpointId> = chain.stages.iter().map(|s| s.endpoint.clone()).collect();
    let lane = Lane::reserve(&node, digest, &endpoints).await?;
    if !suspect::all_answer(&node, &chain.stages).await {
        return None;
    }
    // The news that came meanwhile may have settled the suspicion.
    if !matches!(verdict(generation), QuarantineVerdict::Suspect { .. }) {
        return None;
    }
    generation.lane = Some(lane);
    Some(chain)
}

fn choose(generation: &Generation, busy: &BTreeSet<EndpointId>) -> Option<Chain> {
    let exclude: BTreeSet<EndpointId> = generation.exclude.union(busy).cloned().collect();
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
    generation.problem(kind, "no endpoints cover the model's layers now; come back")
}
