//! Claims operation keys before non-idempotent calls are sent.
//!
//! Only the request whose nonce is recorded in the ledger sends the call, and only once.
//! Claims do not expire like a lease, so a paused or restarted process cannot send a call a
//! second time (`docs/design/claim-ledger.md`).

use pistachioyard_policy::{ChangeAnswer, Claim, ClaimState, LedgerChange};
use pistachioyard_wire::{Nonce, OperationKey, OperationOutcome, RequestDigest};

use crate::ledger::LedgerError;
use crate::prelude::*;

/// How long recording a claim may take, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 1_500;
/// The longest time from the request for a claim to the call, in milliseconds; after it the
/// claim is released, since the caller may have given up.
const CLAIM_TO_SEND_LIMIT_MS: u64 = 3_000;
/// How long an outcome or a release may take to be recorded, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 3_600_000;
/// The retry delay given to callers while the ledger cannot be written, in milliseconds.
const LEDGER_RETRY_MS: u64 = 1_000;

/// Says how an attempt to claim a key ended.
pub(crate) enum ClaimOutcome {
    /// This request holds the key and may send the call once.
    Held(ClaimHold),
    /// Another request holds or held the key, under this claim.
    HeldElsewhere(Claim),
}

/// Holds the right to send one call once.
pub(crate) struct ClaimHold {
    node: Arc<Node>,
    key: OperationKey,
    nonce: Nonce,
    asked_at: Instant,
}

/// Claims a key.
///
/// # Errors
///
/// Fails when the claim cannot be recorded; the call is then never sent.
pub(crate) async fn claim(
    node: &Arc<Node>,
    key: OperationKey,
    digest: RequestDigest,
) -> Result<ClaimOutcome, Problem> {
    node.ledger
        .check_age(key)
        .map_err(|e| Problem::new(ProblemKind::KeyTooOld, Outcome::NotRun, e.to_string()))?;
    let asked_at = Instant::now();
    let nonce = Nonce::generate();
    let change = LedgerChange::Claim {
        key,
        nonce,
        digest,
        entry: node.settings.entry.clone(),
    };
    let deadline = asked_at + Duration::from_millis(CLAIM_TIMEOUT_MS);
    let hold = ClaimHold {
        node: node.clone(),
        key,
        nonce,
        asked_at,
    };
    match node.ledger.change(change, deadline).await {
        Ok(ChangeAnswer::Claimed) => Ok(ClaimOutcome::Held(hold)),
        Ok(ChangeAnswer::Held(claim)) => Ok(ClaimOutcome::HeldElsewhere(claim)),
        Ok(ChangeAnswer::KeyReused) => Err(Problem::new(
            ProblemKind::KeyReused,
            Outcome::NotRun,
            format!("the key {key} was already used for another operation; use a new key for each"),
        )),
        Ok(ChangeAnswer::PageFull) => Err(Problem::new(
            ProblemKind::LedgerFull,
            Outcome::NotRun,
            "the ledger page for the key's time of creation is full; use a new key",
        )
        .with_retry_after_ms(LEDGER_RETRY_MS)),
        Ok(ChangeAnswer::Recorded | ChangeAnswer::NotHolder) => Err(unavailable(node, key)),
        Err(LedgerError::Undecided) => {
            hold.release_later();
            Err(unavailable(node, key))
        }
        Err(e) => {
            spdlog::warn!("ledger: a claim was not recorded: {e}");
            Err(unavailable(node, key))
        }
    }
}

fn unavailable(node: &Node, key: OperationKey) -> Problem {
    if node.ledger.was_sent(key) {
        return result_unknown();
    }
    Problem::new(
        ProblemKind::LedgerUnavailable,
        Outcome::NotRun,
        "the platform does not answer, so this request was not sent; an earlier request with the \
         same key may have been sent; retry with the same key",
    )
    .with_retry_after_ms(LEDGER_RETRY_MS)
}

impl ClaimHold {
    /// Tells whether the call may still be sent.
    ///
    /// It may not if the process was paused for too long since it asked for the claim.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        let is_recent = now - self.asked_at < Duration::from_millis(CLAIM_TO_SEND_LIMIT_MS);
        // After a pause longer than the retention time, the claim may be on a page that was
        // deleted and created again.
        is_recent && self.node.ledger.check_age(self.key).is_ok()
    }

    /// Records in this process that the call is about to be sent.
    pub(crate) fn note_sent(&self) {
        self.node.ledger.note_sent(self.key);
    }

    /// Releases the claim in the background, since no call was or will be sent. The key can
    /// then be claimed again.
    pub(crate) fn release_later(self) {
        let change = LedgerChange::Release {
            key: self.key,
            nonce: self.nonce,
        };
        self.record(change);
    }

    /// Records the outcome in the background; the caller gets it without waiting for that.
    pub(crate) fn settle_later(self, outcome: OperationOutcome) {
        let change = LedgerChange::Settle {
            key: self.key,
            nonce: self.nonce,
            outcome,
        };
        self.record(change);
    }

    fn record(self, change: LedgerChange) {
        let deadline = Instant::now() + Duration::from_millis(RECORD_TIMEOUT_MS);
        let key = self.key;
        // Queued while the request still counts as in progress, so that a stop waits for it.
        let recorded = self.node.ledger.submit(change, deadline);
        tokio::spawn(async move {
            if let Ok(Err(e)) = recorded.await {
                spdlog::error!("ledger: the outcome or release of {key} was not recorded: {e}");
            }
        });
    }
}

/// Returns the outcome that is recorded in a claim.
///
/// # Errors
///
/// Fails with an unknown outcome if none is recorded. "Not run" is never reported for a key,
/// since another request with the same key may be about to claim it. Only the response to
/// a request that was not sent says so.
pub(crate) fn outcome_of(claim: Claim) -> Result<OperationOutcome, Problem> {
    match claim.state {
        ClaimState::Settled(mut outcome) => {
            outcome.repeated = true;
            Ok(outcome)
        }
        ClaimState::Claimed => Err(result_unknown()),
        ClaimState::Released => Err(not_recorded(claim.key)),
    }
}

fn result_unknown() -> Problem {
    Problem::new(
        ProblemKind::ResultLost,
        Outcome::Unknown,
        "the operation was claimed and its result is not recorded; it may have run once",
    )
    .with_retry_after_ms(LEDGER_RETRY_MS)
}

/// Returns the problem for a key with no recorded call; one may still be on its way.
pub(crate) fn not_recorded(key: OperationKey) -> Problem {
    let detail = format!(
        "no operation is recorded as sent with the key {key}, but one may be on its way; \
         send it again with the same key, so that it runs at most once"
    );
    Problem::new(ProblemKind::NoSuchOperation, Outcome::Unknown, detail).with_retry_after_ms(0)
}
