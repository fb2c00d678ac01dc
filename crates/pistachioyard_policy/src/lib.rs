//! Decisions of the router, without I/O, tasks or a clock.
//!
//! Time and randomness come in as arguments, so that every rule can be tested
//! with made-up time and seeded randomness.

mod chain;
mod fleet;
mod prefix_index;

pub use chain::{
    Chain, ChainQuery, ChoicePolicy, NoChain, choose_chain, choose_chain_by, free_slots,
};
pub use fleet::{EndpointView, FleetView};
pub use prefix_index::PrefixIndex;
