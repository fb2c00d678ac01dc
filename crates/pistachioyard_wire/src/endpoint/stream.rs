//! Token streams through a chain of engines.

use std::net::SocketAddr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, Attempt, EndpointId, LayerRange, ModelName, Priority, StreamId, VersionName,
};

/// One stage of a chain: the layers that one endpoint runs.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct StageRef {
    /// The endpoint that runs the stage.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The layers it runs for this chain.
    pub layers: LayerRange,
}

/// Starts one attempt of a stream at the first stage of its chain.
///
/// `tokens` holds what the caller already has; the attempt goes on after them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StreamRequest {
    /// The stream, the same over all attempts.
    pub stream: StreamId,
    /// The attempt; engines drop work of older ones.
    pub attempt: Attempt,
    /// The model to run.
    pub model: ModelName,
    /// The version of the model that every stage must hold.
    pub version: VersionName,
    /// The adapter to run with, if any.
    pub adapter: Option<AdapterName>,
    /// The stages in order; they cover every layer once.
    pub chain: Arc<[StageRef]>,
    /// The prompt's text.
    #[schemars(with = "String")]
    pub prompt: Arc<str>,
    /// The tokens that earlier attempts have produced, in order.
    pub tokens: Vec<u64>,
    /// The number of tokens of the whole answer, those of `tokens` included.
    pub max_tokens: u32,
    /// Decides which work goes first within an engine.
    pub priority: Priority,
}

/// One line of an engine's answer to a [`StreamRequest`].
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
pub struct StreamFrame {
    /// The stream that the frame is part of.
    pub stream: StreamId,
    /// The attempt that produced it.
    pub attempt: Attempt,
    /// What it says.
    pub body: FrameBody,
}

/// What a frame says.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FrameBody {
    /// The engine has taken the attempt.
    Started,
    /// The token at an index of the whole answer.
    Token {
        /// Its place in the whole answer, from 0.
        index: u32,
        /// The token.
        token: u64,
    },
    /// The answer is whole.
    End {
        /// The number of tokens of the whole answer.
        count: u32,
    },
    /// The attempt has ended without a whole answer.
    Failed(StageFailure),
}

/// Why an attempt ended without a whole answer.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum StageFailure {
    /// A stage could not be reached, or its link broke.
    #[error("the stage {endpoint} was lost")]
    Lost {
        /// The endpoint of the stage.
        endpoint: EndpointId,
    },
    /// A stage refused the work without running it.
    #[error("the stage {endpoint} refused the work: {why}")]
    Refused {
        /// The endpoint of the stage.
        endpoint: EndpointId,
        /// Its reason, for the log.
        why: String,
    },
    /// A newer attempt of the stream was seen.
    #[error("a newer attempt took over")]
    Superseded,
    /// The attempt was cancelled.
    #[error("the attempt was cancelled")]
    Cancelled,
}

/// How far one engine is with a stream.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct StreamProgress {
    /// The newest attempt that the engine has seen.
    pub attempt: Attempt,
    /// The positions of the answer that the engine has run in that attempt; the
    /// prompt counts as none.
    pub positions: u32,
    /// Whether work of the stream is queued or running in the engine now.
    pub busy: bool,
}

/// The KV cache of one stream at one engine, for moving it to another.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct KvSnapshot {
    /// The stream.
    pub stream: StreamId,
    /// The attempt that wrote the newest position.
    pub attempt: Attempt,
    /// The model and version that it belongs to.
    pub model: ModelName,
    /// The version of the model.
    pub version: VersionName,
    /// The layers that it covers.
    pub layers: LayerRange,
    /// The number of answer positions that it holds.
    pub positions: u32,
    /// A digest of the prompt and tokens that it was computed from.
    pub prefix_digest: u64,
}
