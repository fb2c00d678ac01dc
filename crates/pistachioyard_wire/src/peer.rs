//! The gossip protocol between entries (CBOR over WebSocket peer links).
//!
//! Correctness does not depend on this data, and all of it expires
//! (`docs/design/membership.md`). The one exception is the configuration, which
//! is safe to forward because only higher revisions are adopted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AcceptedConfig, BootId, DataCentre, EndpointId, EndpointReport, EntryId, LoadRecord,
    PromptPart, RequestDigest, Revision, WorkspaceName,
};

/// The maximum size of a peer message, in bytes; large enough for a configuration.
pub const MAX_PEER_MESSAGE_BYTES: usize = 2_000_000;

/// A message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The state that the sender shares with its peers.
    Gossip(Box<GossipState>),
    /// Requests the receiver's configuration, because its revision is higher.
    WantConfig,
    /// The configuration in force at the sender.
    Config(AcceptedConfig),
    /// Acknowledges a gossip message, so that its sender knows that it was received.
    ///
    /// Only an acknowledgement confirms a configuration, because gossip that was
    /// buffered while a process was paused does not show the current state.
    Ack {
        /// The `sent_ms` of the acknowledged gossip message.
        sent_ms: u64,
        /// The revision in force at the sender of the acknowledgement.
        revision: Revision,
    },
}

/// The state of an entry as its peers see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize, schemars::JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// The entry accepts new work.
    Live,
    /// The entry finishes its work in progress and accepts no new work after its grace
    /// period.
    Draining,
    /// No heartbeat of the entry has arrived for longer than the heartbeat timeout.
    Lost,
}

/// A membership record of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The id of the entry.
    pub entry: EntryId,
    /// The id of the process run; the record of a later run replaces earlier ones.
    pub boot: BootId,
    /// The heartbeat counter of this run.
    pub heartbeat: u64,
    /// The state that the entry reports about itself: live or draining.
    pub state: EntryState,
    /// The address on which the entry listens for callers.
    pub address: SocketAddr,
    /// The address on which the entry listens for peers.
    pub peer_address: SocketAddr,
    /// The data centre of the entry.
    pub data_centre: DataCentre,
    /// The revision in force at the entry.
    pub revision: Revision,
}

/// The reason why an endpoint gets no new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointMarkKind {
    /// The endpoint is leaving; this is irreversible within the same run.
    Leaving,
    /// The endpoint did not respond.
    Dead,
    /// The placement controller is about to change the layers that the endpoint holds.
    ///
    /// Unlike a leaving endpoint it gets new work again afterwards; the mark is renewed
    /// until then.
    Moving,
}

/// Excludes an endpoint from new work; entries gossip the mark until it expires.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointMark {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The run of the endpoint process that the mark applies to, if known.
    pub boot: Option<BootId>,
    /// The reason why the endpoint gets no new work.
    pub kind: EndpointMarkKind,
    /// The age of the mark when this message was sent, in milliseconds.
    pub age_ms: u64,
}

/// Identifies a request that crashed endpoints; entries gossip it until it expires.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineMark {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The distinct endpoint runs that crashed while they ran the request.
    pub crashed: Vec<BootId>,
    /// The crashes that the request did not cause, since it has completed after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub cleared: Vec<BootId>,
    /// The endpoint runs that lost the request and of which it is not known whether they have
    /// ended, with the age of each loss in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub undecided: Vec<(BootId, u64)>,
    /// Whether the request is quarantined, so that entries refuse it.
    pub convicted: bool,
    /// Whether the request crashed an endpoint again after it had been refused for a while.
    #[serde(default)]
    pub has_relapsed: bool,
    /// The age of the mark when this message was sent, in milliseconds.
    pub age_ms: u64,
}

/// A crash of an endpoint run, with the prompt parts of the requests that may have caused it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartCrash {
    /// The endpoint run that crashed.
    pub run: BootId,
    /// The parts that are not known to be sound.
    pub parts: Vec<PromptPart>,
    /// The age of the crash when this message was sent, in milliseconds.
    pub age_ms: u64,
}

/// A finding about a prompt part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartMark {
    /// The part.
    pub part: PromptPart,
    /// The age of the finding when this message was sent, in milliseconds.
    pub age_ms: u64,
}

/// What an entry knows of the prompt parts of requests that crashed endpoints.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// The newest crashes that no convicted part explains.
    pub crashes: Vec<PartCrash>,
    /// The parts whose requests are refused, from the time of their conviction.
    pub convicted: Vec<PartMark>,
    /// The parts that were suspected and are sound, from the time of the newest proof.
    pub sound: Vec<PartMark>,
}

/// The load of a workspace at the sender.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceUsage {
    /// The number of its requests in flight.
    pub in_flight: u32,
    /// The number of its requests that wait for admission.
    pub waiting: u32,
}

/// The state that an entry sends to its peers at each gossip interval.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GossipState {
    /// The id of the sender.
    pub from: EntryId,
    /// The sender's monotonic clock when it sent the message, in milliseconds.
    pub sent_ms: u64,
    /// The sender's own record, and periodically those of all members that it knows.
    pub members: Vec<MemberRecord>,
    /// The heartbeat counters of members whose records are omitted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub beats: Vec<(EntryId, BootId, u64)>,
    /// The revision in force at the sender.
    pub revision: Revision,
    /// The number of the sender's streams in flight, by endpoint.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub in_flight: BTreeMap<EndpointId, u32>,
    /// The marks of endpoints that get no new work.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub endpoint_marks: Vec<EndpointMark>,
    /// The marks of requests that crashed endpoints.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantine: Vec<QuarantineMark>,
    /// The suspect requests that the sender is retrying or is about to retry, each with
    /// the endpoints reserved for it. No other entry retries the same request, or runs
    /// another suspect request on those endpoints.
    #[serde(default)]
    pub suspects: BTreeMap<RequestDigest, BTreeSet<EndpointId>>,
    /// The load of each workspace at the sender.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub usage: BTreeMap<WorkspaceName, WorkspaceUsage>,
    /// New reports of endpoints that the sender polls, where fields other than the load
    /// have changed, each with its age in milliseconds.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reports: Vec<(EndpointReport, u64)>,
    /// The load from the sender's other new reports.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<LoadRecord>,
}

/// Reports why bytes are not a valid peer message.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PeerMessageError {
    /// The message exceeds the maximum size.
    #[error("the peer message has {len} bytes; at most {MAX_PEER_MESSAGE_BYTES} are allowed")]
    TooLarge {
        /// The size of the message, in bytes.
        len: usize,
    },
    /// The bytes cannot be decoded.
    #[error("the peer message cannot be decoded: {reason}")]
    Malformed {
        /// The reason, from the decoder.
        reason: String,
    },
}

/// Encodes a message as CBOR for a peer link.
pub fn encode_peer_message(message: &PeerMessage) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("writing to a Vec does not fail");
    buf
}

/// Decodes a CBOR message from a peer link.
///
/// # Errors
///
/// Returns an error if the bytes exceed the maximum size or are not a valid message.
pub fn decode_peer_message(buf: &[u8]) -> Result<PeerMessage, PeerMessageError> {
    if buf.len() > MAX_PEER_MESSAGE_BYTES {
        return Err(PeerMessageError::TooLarge { len: buf.len() });
    }
    ciborium::from_reader(buf).map_err(|e| PeerMessageError::Malformed {
        reason: e.to_string(),
    })
}
