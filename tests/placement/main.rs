//! The placement controller with real processes: losses, takeovers, rollouts.

#![expect(
    clippy::unwrap_used,
    reason = "a test fails by a panic, in its helpers as well"
)]

mod control_cost;
mod lease;
mod repair;
mod rollout;
mod support;
