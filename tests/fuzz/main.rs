//! Malformed and hostile input at each interface of an entry.
//!
//! Every test is seeded. After the tests that run a cluster, its entries must not have
//! panicked, must have the expected revision in force, and must give correct answers.

mod callers;
mod files;
mod operators;
mod peers;
mod platform;
mod support;
