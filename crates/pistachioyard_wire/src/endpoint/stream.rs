//! Token streams that run through a chain of engines.

use std::net::SocketAddr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, Attempt, EndpointId, LayerRange, ModelName, Priority, StreamId, VersionName,
};

/// A stage of a chain: the layers that one endpoint runs.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct StageRef {
    /// The endpoint that runs the stage.
    pub endpoint: EndpointId,
    /// The address of the endpoint.
    pub address: SocketAddr,
    /// The layers that the endpoint runs for this chain.
    pub layers: LayerRange,
}

/// Starts an attempt of a stream at the first stage of its chain.
///
/// `tokens` holds the tokens that the caller already has; the attempt continues
/// after them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StreamRequest {
    /// The id of the stream, which all attempts share.
    pub stream: StreamId,
    /// The attempt; engines drop the work of older attempts.
    pub attempt: Attempt,
    /// The model to run.
    pub model: ModelName,
    /// The version of the model that every stage must hold.
    pub version: VersionName,
    /// The adapter to apply to the model, if any.
    pub adapter: Option<AdapterName>,
    /// The stages in order; together they cover every layer exactly once.
    pub chain: Arc<[StageRef]>,
    /// The text of the prompt.
    #[schemars(with = "String")]
    pub prompt: Arc<str>,
    /// The tokens that earlier attempts have generated, in order.
    pub tokens: Vec<u64>,
    /// The number of tokens in the complete answer, including those in `tokens`.
    pub max_tokens: u32,
    /// The scheduling priority within an engine.
    pub priority: Priority,
}

/// One line of an engine's response to a [`StreamRequest`].
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StreamFrame {
    /// The stream that the frame belongs to.
    pub stream: StreamId,
    /// The attempt that produced the frame.
    pub attempt: Attempt,
    /// The content of the frame.
    pub body: FrameBody,
}

/// The content of a frame.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FrameBody {
    /// The engine has accepted the attempt.
    Started,
    /// A token of the answer.
    Token {
        /// The position of the token in the complete answer, from 0.
        index: u32,
        /// The token id.
        token: u64,
    },
    /// The answer is complete.
    End {
        /// The number of tokens in the complete answer.
        count: u32,
    },
    /// The attempt ended without a complete answer.
    Failed(StageFailure),
}

/// Reports why an attempt ended without a complete answer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum StageFailure {
    /// A stage could not be reached, or the connection to it broke.
    #[error("the stage at {endpoint} was lost")]
    Lost {
        /// The endpoint of the stage.
        endpoint: EndpointId,
    },
    /// A stage refused the work without running it.
    #[error("the stage at {endpoint} refused the work: {why}")]
    Refused {
        /// The endpoint of the stage.
        endpoint: EndpointId,
        /// The endpoint's reason, for the log.
        why: String,
    },
    /// A newer attempt of the stream superseded this one.
    #[error("the attempt was superseded by a newer one")]
    Superseded,
    /// The attempt was cancelled.
    #[error("the attempt was cancelled")]
    Cancelled,
}

/// The progress of a stream at one engine.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct StreamProgress {
    /// The newest attempt that the engine has seen.
    pub attempt: Attempt,
    /// The number of answer positions that the engine has computed in that attempt;
    /// positions of the prompt are not counted.
    pub positions: u32,
    /// Whether work of the stream is queued or running in the engine.
    pub busy: bool,
}

/// The KV cache of a stream at one engine, for a transfer to another engine.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct KvSnapshot {
    /// The id of the stream.
    pub stream: StreamId,
    /// The attempt that wrote the newest position.
    pub attempt: Attempt,
    /// The model that the cache belongs to.
    pub model: ModelName,
    /// The version of the model.
    pub version: VersionName,
    /// The layers that the cache covers.
    pub layers: LayerRange,
    /// The number of answer positions in the cache.
    pub positions: u32,
    /// The digest of the prompt and tokens from which the cache was computed.
    pub prefix_digest: u64,
}
