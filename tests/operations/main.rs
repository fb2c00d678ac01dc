//! Tests that operations that are not idempotent take effect at most once.
//!
//! The oracle is the number of effects that the services count, not what the router reports.

mod hasty_platform;
mod lost_answers;
mod no_status;
mod outages;
mod pages;
mod pauses;
mod races;
mod starts;
mod support;
