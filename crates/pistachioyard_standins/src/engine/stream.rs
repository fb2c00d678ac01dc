//! The state that an engine keeps for each stream.

use std::sync::Arc;

use bytes::Bytes;
use pistachioyard_wire::{
    Attempt, FrameBody, LayerRange, ModelName, StageRef, StreamFrame, StreamRequest, VersionName,
};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::link_message::Step;
use crate::token::PrefixState;

/// Holds the KV cache of one stream.
#[derive(Clone, Debug)]
pub(crate) struct KvState {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) layers: LayerRange,
    /// The number of answer positions held; position `n` takes token `n - 1` as input.
    pub(crate) positions: u32,
    /// The digest of the prompt and of the input tokens.
    pub(crate) prefix_digest: u64,
    /// The size of the prompt, in tokens.
    pub(crate) prompt_tokens: u64,
    pub(crate) attempt: Attempt,
}

/// Holds the state that only the first stage of a chain keeps.
#[derive(Debug)]
pub(crate) struct HeadState {
    /// Sends the lines of the answer to the caller.
    pub(crate) frames: UnboundedSender<Bytes>,
}

/// Holds the state of an attempt that an engine runs a stage of.
#[derive(Debug)]
pub(crate) struct StageJob {
    pub(crate) request: Arc<StreamRequest>,
    /// The position of this engine in the chain.
    pub(crate) position: usize,
    /// The state of the head; `Some` only at the first stage.
    pub(crate) head: Option<HeadState>,
    /// Whether the job holds a slot.
    pub(crate) admitted: bool,
    /// The step that is queued or running here.
    pub(crate) step: Option<Step>,
    /// The cost of the prefill, which the first step adds to its own, in tokens.
    pub(crate) prefill_tokens: f64,
    /// The input token of the current step.
    pub(crate) last_token: Option<u64>,
    /// The digest state of the prompt and all tokens so far.
    pub(crate) prefix: PrefixState,
    /// The index of the next step to accept.
    pub(crate) next_index: u32,
    /// Whether running a step ends the process.
    pub(crate) crashes: bool,
    /// Whether the attempt has been opened at the next stage.
    pub(crate) opened_next: bool,
}

impl StageJob {
    /// Returns the stage that this engine runs.
    pub(crate) fn stage(&self) -> &StageRef {
        &self.request.chain[self.position]
    }

    /// Returns the next stage, or `None` at the last one.
    pub(crate) fn next_stage(&self) -> Option<&StageRef> {
        self.request.chain.get(self.position + 1)
    }

    /// Returns the first stage of the chain.
    pub(crate) fn head_stage(&self) -> &StageRef {
        &self.request.chain[0]
    }

    /// Sends a frame to the caller; does nothing at stages other than the first.
    pub(crate) fn send_frame(&self, body: FrameBody) {
        let Some(head) = &self.head else { return };
        let frame = StreamFrame {
            stream: self.request.stream,
            attempt: self.request.attempt,
            body,
        };
        let mut line = serde_json::to_vec(&frame).expect("a frame is always valid JSON");
        line.push(b'\n');
        // `CancelGuard` closes the attempt of a caller that has disconnected.
        let _ = head.frames.send(line.into());
    }
}

/// Holds all state that an engine keeps for one stream.
#[derive(Debug)]
pub(crate) struct StageStream {
    /// The newest attempt seen.
    pub(crate) attempt: Attempt,
    /// The KV cache, which outlives the job.
    pub(crate) kv: Option<KvState>,
    /// The current attempt, if one is running or waiting.
    pub(crate) job: Option<StageJob>,
    /// When the stream was last active.
    pub(crate) touched: Instant,
}

impl StageStream {
    /// Creates the state of a stream whose first seen attempt is `attempt`.
    pub(crate) fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            kv: None,
            job: None,
            touched: Instant::now(),
        }
    }

    /// Returns the current job if it belongs to `attempt`.
    pub(crate) fn job_for(&mut self, attempt: Attempt) -> Option<&mut StageJob> {
        self.job
            .as_mut()
            .filter(|job| job.request.attempt == attempt)
    }
}
