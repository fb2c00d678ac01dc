//! Tests of endpoint views and of the choices made on them, grouped by behaviour.

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
