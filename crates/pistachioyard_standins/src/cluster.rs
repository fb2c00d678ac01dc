//! Runs a complete deployment of stand-ins and entries as real processes.

mod binaries;
mod caller;
mod control;
mod error;
mod processes;
mod spec;

pub use binaries::Binaries;
pub use caller::{Answer, Caller, GenerateEnd, draft_request};
pub use error::ClusterError;
pub use processes::{Cluster, EndpointProcess, EntryProcess};
pub use spec::{ClusterPlan, EngineSpec};
