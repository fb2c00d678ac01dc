//! The names that most modules of the daemon use.

pub(crate) use std::sync::Arc;
pub(crate) use std::time::{Duration, Instant};

pub(crate) use pistachioyard_wire::prelude::{
    Attempt, BootId, DataCentre, EndpointId, EntryId, ModelName, Priority, RequestId, Revision,
    StreamId, VersionName, WorkspaceName,
};
pub(crate) use pistachioyard_wire::{Outcome, Problem, ProblemKind};

pub(crate) use crate::entry::Node;
