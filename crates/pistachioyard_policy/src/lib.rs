//! Decisions of the router, without I/O, tasks or a clock.
//!
//! Time, randomness and views of the world come in as arguments, so that each
//! rule can be tested with made-up time. The rules are explained in
//! `docs/design/`.

mod adoption;
mod ledger;

pub use adoption::{
    ActiveConfig, Adoption, ApplyDecision, ConfigRejected, Standing, decide_apply, next_accepted,
    text_digest,
};
pub use ledger::{
    ChangeAnswer, Claim, ClaimState, KeyAgeFault, LedgerChange, LedgerFault, LedgerPage,
    LedgerShape,
};
