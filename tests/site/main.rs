//! The daemon on the operators' platform, as real processes against small stand-ins
//! of the platform's store and workers behind the fault proxy.

mod caller;
mod calm;
mod deployment;
mod faults;
mod logs;
mod soak;
mod support;
