//! Decisions of the router, without I/O, tasks or a clock.
//!
//! Time and randomness come in as arguments, so that every rule can be tested
//! with made-up time and seeded randomness.

mod bound;
mod burn;
mod chain;
mod fleet;
mod placement;
mod prefix_index;

pub use bound::{throughput_bound, throughput_bound_with_links};
pub use burn::{
    BURN_WINDOWS, BurnAlert, BurnCounter, BurnReport, BurnWindow, Measure, WindowCount,
};
pub use chain::{
    Chain, ChainQuery, ChoicePolicy, NoChain, choose_chain, choose_chain_by, free_slots,
};
pub use fleet::{EndpointView, FleetView};
pub use placement::{
    Held, LoadPacer, PlacementChange, PlacementEndpoint, PlacementInput, PlacementModel,
    next_rollout_step, place,
};
pub use prefix_index::PrefixIndex;
