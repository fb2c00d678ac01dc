//! The placement controller with real processes: losses, takeovers, rollouts.

mod lease;
mod repair;
mod rollout;
mod support;
