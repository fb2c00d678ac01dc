//! Operations that are not idempotent take effect at most once.
//!
//! The services' own counts of effects are the oracle, never the router's word.

mod lost_answers;
mod outages;
mod pages;
mod pauses;
mod races;
mod support;
