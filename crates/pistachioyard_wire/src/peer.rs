//! What entries exchange over their peer links (CBOR over WebSocket).
//!
//! Nothing here is needed for correctness; all of it ages out
//! (`docs/design/membership.md`). The one exception is the configuration, which
//! is safe to pass on since only higher revisions are adopted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AcceptedConfig, BootId, DataCentre, EndpointId, EndpointReport, EntryId, LoadRecord,
    RequestDigest, Revision, WorkspaceName,
};

/// The largest peer message accepted, in bytes; a configuration fits.
pub const MAX_MESSAGE_BYTES: usize = 2_000_000;

/// One message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// What the sender knows that may interest the receiver.
    Gossip(Box<GossipState>),
    /// Asks for the configuration, which the receiver has in a higher revision.
    WantConfig,
    /// The configuration that the sender has in force.
    Config(AcceptedConfig),
    /// Answers a gossip, so that its sender knows when it was heard. Only an
    /// answer confirms a configuration: gossip that was buffered while a process
    /// was paused proves nothing about the present.
    Ack {
        /// The `sent_ms` of the gossip that is answered.
        sent_ms: u64,
        /// The revision in force at the sender of the answer.
        revision: Revision,
    },
}

/// The state of an entry as its peers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// It takes new work.
    Live,
    /// It finishes what it has and takes no new work after its grace time.
    Draining,
    /// It has not been heard of for longer than the heartbeat timeout.
    Lost,
}

/// What is known of one entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The entry.
    pub entry: EntryId,
    /// The run of its process; a later one replaces an earlier one.
    pub boot: BootId,
    /// Counts its heartbeats in this run.
    pub heartbeat: u64,
    /// Its own word on its state: live or draining.
    pub state: EntryState,
    /// Where it listens for callers.
    pub address: SocketAddr,
    /// Where it listens for peers.
    pub peer_address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentre,
    /// The revision in force there.
    pub revision: Revision,
}

/// Why an endpoint gets no new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointMarkKind {
    /// It is leaving; this never turns back in the same run.
    Leaving,
    /// It did not answer.
    Dead,
    /// The placement controller is about to change what it holds. Unlike a
    /// leaving endpoint it gets new work again; the mark is renewed until then.
    Moving,
}

/// A word on an endpoint, passed on among entries until it ages out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointMark {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its process that the mark is about, if known.
    pub boot: Option<BootId>,
    /// Why it gets no new work.
    pub kind: EndpointMarkKind,
    /// The age of the mark, in milliseconds, when this message was sent.
    pub age_ms: u64,
}

/// A request that crashed endpoints, passed on until it ages out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineMark {
    /// What the request asks.
    pub digest: RequestDigest,
    /// The distinct endpoint runs that crashed with it.
    pub crashed: Vec<BootId>,
    /// Whether it is convicted and refused.
    pub convicted: bool,
    /// The age of the mark, in milliseconds, when this message was sent.
    pub age_ms: u64,
}

/// What a workspace has in progress at the sender.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// Its requests in progress.
    pub in_flight: u32,
    /// Its requests that wait for admission.
    pub waiting: u32,
}

/// What an entry tells its peers at each gossip interval.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipState {
    /// The sender.
    pub from: EntryId,
    /// The sender's monotonic clock, in milliseconds, when it sent this.
    pub sent_ms: u64,
    /// The sender's own record, and now and then those of all members it knows.
    pub members: Vec<MemberRecord>,
    /// The heartbeats of the members whose records are left out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<(EntryId, BootId, u64)>,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// The sender's streams in flight by endpoint.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub in_flight: BTreeMap<EndpointId, u32>,
    /// Endpoints that get no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoint_marks: Vec<EndpointMark>,
    /// Requests that crashed endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantine: Vec<QuarantineMark>,
    /// Suspects that the sender runs again or is about to, with the endpoints that
    /// it reserves for them, so that no other entry runs one of them or another
    /// suspect there.
    #[serde(default)]
    pub suspects: BTreeMap<RequestDigest, BTreeSet<EndpointId>>,
    /// Usage of workspaces at the sender.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub usage: BTreeMap<WorkspaceName, WorkspaceUsage>,
    /// New reports of the endpoints that the sender polls, where more than the
    /// load has changed, with their age in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<(EndpointReport, u64)>,
    /// The load in its other new reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadRecord>,
}

/// Why bytes are not a peer message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PeerFault {
    /// The message is larger than any that a peer sends.
    #[error("the peer message has {len} bytes; {MAX_MESSAGE_BYTES} are allowed")]
    TooLarge {
        /// Its length in bytes.
        len: usize,
    },
    /// The bytes cannot be decoded.
    #[error("the peer message cannot be decoded: {why}")]
    Malformed {
        /// The decoder's reason.
        why: String,
    },
}

/// Encodes a message for a peer link.
pub fn encode_peer_message(message: &PeerMessage) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("writing to memory does not fail");
    buf
}

/// Decodes a message from a peer link.
///
/// # Errors
///
/// Fails on bytes that are too many or are not a message.
pub fn decode_peer_message(buf: &[u8]) -> Result<PeerMessage, PeerFault> {
    if buf.len() > MAX_MESSAGE_BYTES {
        return Err(PeerFault::TooLarge { len: buf.len() });
    }
    ciborium::from_reader(buf).map_err(|e| PeerFault::Malformed { why: e.to_string() })
}
