//! Claims of operation keys: the filter before a non-idempotent call.
//!
//! Whoever's nonce stands in the ledger, and nobody else, sends the call, once.
//! No lease is trusted: a claim stays for ever, so a paused or restarted process
//! can do no harm (`docs/design/claim-ledger.md`).

use pistachioyard_policy::{ChangeAnswer, Claim, ClaimState, LedgerChange};
use pistachioyard_wire::{Nonce, OperationKey, OperationOutcome, RequestDigest};

use crate::ledger::LedgerError;
use crate::prelude::*;

/// How long recording a claim may take, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 1_500;
/// The longest time between asking for a claim and sending the call, in
/// milliseconds; after it the claim is released, since the caller may have gone on.
const CLAIM_TO_SEND_LIMIT_MS: u64 = 3_000;
/// How long an outcome or release is tried to be recorded, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 3_600_000;
/// When to come back while the ledger cannot be written, in milliseconds.
const LEDGER_RETRY_MS: u64 = 1_000;

/// What a claim came to.
pub(crate) enum Claimed {
    /// This process holds the key and may send once.
    Held(ClaimHold),
    /// Another request holds or held the key.
    Elsewhere(Claim),
}

/// The right to send one call once.
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
) -> Result<Claimed, Problem> {
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
        Ok(ChangeAnswer::Claimed) => Ok(Claimed::Held(hold)),
        Ok(ChangeAnswer::Held(claim)) => Ok(Claimed::Elsewhere(claim)),
        Ok(ChangeAnswer::KeyReused) => Err(Problem::new(
            ProblemKind::KeyReused,
            Outcome::NotRun,
            format!("the key {key} was used for another operation; use a new key for each"),
        )),
        Ok(ChangeAnswer::PageFull) => Err(Problem::new(
            ProblemKind::LedgerFull,
            Outcome::NotRun,
            "too many operations share the key's time of creation; use a new key",
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
        return result_open();
    }
    Problem::new(
        ProblemKind::LedgerUnavailable,
        Outcome::NotRun,
        "the platform does not answer, so this request was not sent; an earlier request with the \
         same key is not covered by this; come back with the same key",
    )
    .with_retry_after_ms(LEDGER_RETRY_MS)
}

impl ClaimHold {
    /// Tells whether the call may still be sent; a process that was paused since
    /// it asked for the claim finds here that it is late.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        let is_recent = now - self.asked_at < Duration::from_millis(CLAIM_TO_SEND_LIMIT_MS);
        // A process that was paused past the retention may hold a claim on a page
        // that was deleted and made anew.
        is_recent && self.node.ledger.check_age(self.key).is_ok()
    }

    /// Notes that the call is about to be sent.
    pub(crate) fn note_sent(&self) {
        self.node.ledger.note_sent(self.key);
    }

    /// Records that nothing was sent and nothing will be, so that the key may be
    /// claimed anew.
    pub(crate) fn release_later(self) {
        let change = LedgerChange::Release {
            key: self.key,
            nonce: self.nonce,
        };
        self.record(change);
    }

    /// Records the outcome; it is told to the caller without waiting for this.
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
        // Queued before the request counts as finished, so that a stop waits for it.
        let recorded = self.node.ledger.submit(change, deadline);
        tokio::spawn(async move {
            if let Ok(Err(e)) = recorded.await {
                spdlog::error!("ledger: what became of {key} was not recorded: {e}");
            }
        });
    }
}

/// Returns the outcome that a claim records, or says that it is open.
///
/// A key is never said to be not run here: another request with it may be on its
/// way to a claim. Only a request itself can be told that it did not run.
pub(crate) fn outcome_of(claim: Claim) -> Result<OperationOutcome, Problem> {
    match claim.state {
        ClaimState::Settled(mut outcome) => {
            outcome.repeated = true;
            Ok(outcome)
        }
        ClaimState::Claimed => Err(result_open()),
        ClaimState::Released => Err(not_recorded(claim.key)),
    }
}

fn result_open() -> Problem {
    Problem::new(
        ProblemKind::ResultLost,
        Outcome::Unknown,
        "the operation was claimed and its result is not recorded; it may have run once",
    )
    .with_retry_after_ms(LEDGER_RETRY_MS)
}

/// Says that nothing is recorded as sent, which leaves open what is on its way.
pub(crate) fn not_recorded(key: OperationKey) -> Problem {
    let detail = format!(
        "nothing is recorded as sent with the key {key}, but a request may be on its way; \
         send it again with the same key, which runs it at most once"
    );
    Problem::new(ProblemKind::NoSuchOperation, Outcome::Unknown, detail).with_retry_after_ms(0)
}
