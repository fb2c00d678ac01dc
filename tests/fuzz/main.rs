//! Malformed and hostile input at each interface of an entry.
//!
//! Every test is seeded. After it, the entries must not have panicked, must still
//! hold the revision in force, and must still give a right answer.

mod callers;
mod files;
mod operators;
mod peers;
mod platform;
mod support;
