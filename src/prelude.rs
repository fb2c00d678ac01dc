//! The names that most modules of the daemon use.

pub(crate) use std::sync::Arc;
pub(crate) use std::time::{Duration, Instant};

#[cfg(feature = "entry")]
pub(crate) use pistachioyard_wire::prelude::{
    Attempt, DataCentre, ModelName, Priority, RequestId, StreamId, VersionName, WorkspaceName,
};
pub(crate) use pistachioyard_wire::prelude::{BootId, EndpointId, EntryId, Revision};
pub(crate) use pistachioyard_wire::{Outcome, Problem, ProblemKind};

#[cfg(feature = "entry")]
pub(crate) use crate::entry::Node;
