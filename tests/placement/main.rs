//! The placement controller with real processes: lost engines, lease takeovers, rollouts.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails by a panic, in its helper functions too"
)]

mod control_cost;
mod lease;
mod repair;
mod rollout;
mod support;
