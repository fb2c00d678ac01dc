//! Border types of the router: what crosses between processes, raw and checked.
//!
//! Every type that leaves or enters a process is declared here, so that the
//! protocols can be read in one place. Raw input becomes a checked type through
//! `TryFrom` or through serde's `try_from`, and the rest of the code sees checked
//! types only. The protocols are described in `docs/design/protocols.md`.

mod caller;
mod endpoint;
mod ids;
mod layer_range;
mod names;
mod operator;
mod peer;
mod platform;

pub mod prelude;

pub use caller::{
    EntryAddress, EntryList, GenerateCall, GenerateRequest, OperationOutcome, OperationRequest,
    Outcome, Problem, ProblemKind, RequestFault, ResumeToken, ResumeTokenFault, StreamEvent,
    TokenDigest,
};
pub use endpoint::{
    CacheEvent, CacheEventKind, CacheEventPage, EndpointReport, FrameBody, KvSnapshot, LoadRecord,
    Order, OrderKind, OrderRefusal, StageFailure, StageRef, StreamFrame, StreamProgress,
    StreamRequest,
};
pub use ids::{
    ApplyId, Attempt, BootId, Fence, IdFault, Nonce, OperationKey, RequestDigest, RequestId,
    Revision, StreamId,
};
pub use layer_range::{LayerRange, LayerRangeFault};
pub use names::{
    AdapterName, CallName, DataCentre, EndpointId, EntryId, HostName, ModelName, NameFault, Region,
    ServiceName, VersionName, WorkspaceName,
};
pub use operator::{
    AcceptedConfig, ApplyAnswer, ApplyRequest, CallPolicy, Config, ConfigFault, ConfigFile,
    EntryBurn, EntryStatus, ForceStatus, LevelCounts, ModelPolicy, Objective, Priority,
    ServiceLevel, ServicePolicy, WindowCount, WorkspacePolicy,
};
pub use peer::{
    EndpointMark, EndpointMarkKind, EntryState, GossipState, MAX_MESSAGE_BYTES, MemberRecord,
    PeerFault, PeerMessage, QuarantineMark, WorkspaceUsage, decode_peer_message,
    encode_peer_message,
};
pub use platform::{
    HostKind, HostRecord, HostState, ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer,
    WriteCondition,
};
