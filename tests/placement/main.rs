//! The placement controller with real processes: losses, takeovers, rollouts.

mod control_cost;
mod lease;
mod repair;
mod rollout;
mod support;
