//! Decisions of the router, without I/O, tasks or a clock.
//!
//! Time, randomness and views of the world come in as arguments, so that each
//! rule can be tested with made-up time. The rules are explained in
//! `docs/design/`.

mod adoption;
mod fair_queue;
mod lease;
mod ledger;
mod membership;
mod quarantine;
mod retry_budget;
mod stream_guard;

pub use adoption::{
    ActiveConfig, Adoption, ApplyDecision, ConfigRejected, Standing, decide_apply, next_accepted,
    text_digest,
};
pub use fair_queue::{DrainRate, FairQueue, QueueFull, Ticket};
pub use lease::{LeaseHold, LeaseMove, LeaseRecord, decide};
pub use ledger::{
    ChangeAnswer, Claim, ClaimState, KeyAgeFault, LedgerChange, LedgerFault, LedgerPage,
    LedgerShape,
};
pub use membership::Membership;
pub use quarantine::{Quarantine, SuspectLanes, Verdict};
pub use retry_budget::RetryBudget;
pub use stream_guard::{DropReason, GuardFault, GuardVerdict, StreamGuard};
