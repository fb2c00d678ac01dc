//! Wire types of the router: the messages that processes exchange, raw and validated.
//!
//! Every type that leaves or enters a process is declared here, so that the
//! protocols can be read in one place. `TryFrom` or serde's `try_from` turns raw
//! input into a validated type, and the rest of the code handles validated types
//! only. The protocols are described in `docs/design/protocols.md`.

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
    EntryAddress, EntryList, GenerateRequest, GenerateRequestError, OperationOutcome,
    OperationRequest, Outcome, Problem, ProblemKind, ResumeToken, ResumeTokenError, StreamEvent,
    TokenDigest, ValidatedGenerateRequest,
};
pub use endpoint::{
    CacheEvent, CacheEventKind, CacheEventPage, EndpointReport, FrameBody, KvSnapshot, LoadRecord,
    Order, OrderKind, OrderRefusal, StageFailure, StageRef, StreamFrame, StreamProgress,
    StreamRequest,
};
pub use ids::{
    ApplyId, Attempt, BootId, Fence, IdError, Nonce, OperationKey, PromptPart, RequestDigest,
    RequestId, Revision, StreamId,
};
pub use layer_range::{LayerRange, LayerRangeError};
pub use names::{
    AdapterName, CallName, DataCentre, EndpointId, EntryId, HostName, ModelName, NameError, Region,
    ServiceName, VersionName, WorkspaceName,
};
pub use operator::{
    AcceptedConfig, ApplyAnswer, ApplyRequest, CallPolicy, Config, ConfigError, ConfigFile,
    EntryBurn, EntryStatus, ForceStatus, LevelCounts, ModelPolicy, Objective, Priority,
    ServiceLevel, ServicePolicy, WindowCount, WorkspacePolicy,
};
pub use peer::{
    EndpointMark, EndpointMarkKind, EntryState, GossipState, MAX_PEER_MESSAGE_BYTES, MemberRecord,
    PartCrash, PartMark, PartReport, PeerMessage, PeerMessageError, QuarantineMark, WorkspaceUsage,
    decode_peer_message, encode_peer_message,
};
pub use platform::{
    HostKind, HostRecord, HostState, ObjectKey, ObjectRecord, ObjectWrite, WatchPage, WriteAnswer,
    WriteCondition, decode_host_list,
};
