//! Tests of the fleet view and of the decisions based on it, grouped by behaviour.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails by a panic, in its helpers as well"
)]

mod bound;
mod burn;
mod chain;
mod fixture;
mod fleet_view;
mod placement;
mod prefix_index;
mod rollout;
mod serving;
