//! Re-exports the types that nearly every module of the router uses.

pub use crate::{
    Attempt, BootId, DataCentre, EndpointId, EntryId, LayerRange, ModelName, Priority, RequestId,
    Revision, StreamId, VersionName, WorkspaceName,
};
