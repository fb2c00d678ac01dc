//! Decisions of the router, without I/O, tasks or a clock.
//!
//! Time and randomness come in as arguments, so that every rule can be tested
//! with made-up time and seeded randomness.

mod fleet;

pub use fleet::{EndpointView, FleetView};
