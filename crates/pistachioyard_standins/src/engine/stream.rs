//! What an engine knows of one stream.

use std::sync::Arc;

use bytes::Bytes;
use pistachioyard_wire::{
    Attempt, FrameBody, LayerRange, ModelName, StageRef, StreamFrame, StreamRequest, VersionName,
};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::link_message::Step;
use crate::token::PrefixState;

/// The KV cache of one stream.
#[derive(Clone, Debug)]
pub(crate) struct KvState {
    pub(crate) model: ModelName,
    pub(crate) version: VersionName,
    pub(crate) layers: LayerRange,
    /// The answer positions held; position `n` takes the token before it in.
    pub(crate) positions: u32,
    /// The digest of the prompt and the tokens taken in.
    pub(crate) prefix_digest: u64,
    /// The size of the prompt, in tokens.
    pub(crate) prompt_tokens: u64,
    pub(crate) attempt: Attempt,
}

/// What only the first stage of a chain keeps.
#[derive(Debug)]
pub(crate) struct HeadState {
    /// Takes the lines of the answer.
    pub(crate) frames: UnboundedSender<Bytes>,
}

/// The attempt of a stream that an engine works on.
#[derive(Debug)]
pub(crate) struct StageJob {
    pub(crate) request: Arc<StreamRequest>,
    /// The place of this engine in the chain.
    pub(crate) position: usize,
    /// Present at the first stage.
    pub(crate) head: Option<HeadState>,
    /// Whether the job holds a slot.
    pub(crate) admitted: bool,
    /// The step that waits or runs here.
    pub(crate) step: Option<Step>,
    /// What the first step costs beyond one token, in tokens.
    pub(crate) prefill_tokens: f64,
    /// The token that the current step takes in.
    pub(crate) last_token: Option<u64>,
    /// The digest of the prompt and all tokens so far.
    pub(crate) prefix: PrefixState,
    /// The index of the next step that is due.
    pub(crate) next_index: u32,
    /// Whether a step of it ends the process.
    pub(crate) crashes: bool,
    /// Whether the next stage has got the first step.
    pub(crate) opened_next: bool,
}

impl StageJob {
    /// Returns the stage that this engine runs.
    pub(crate) fn stage(&self) -> &StageRef {
        &self.request.chain[self.position]
    }

    /// Returns the stage that follows, if this one is not the last.
    pub(crate) fn next_stage(&self) -> Option<&StageRef> {
        self.request.chain.get(self.position + 1)
    }

    /// Returns the first stage.
    pub(crate) fn head_stage(&self) -> &StageRef {
        &self.request.chain[0]
    }

    /// Sends a line to the caller of the first stage.
    pub(crate) fn send_frame(&self, body: FrameBody) {
        let Some(head) = &self.head else { return };
        let frame = StreamFrame {
            stream: self.request.stream,
            attempt: self.request.attempt,
            body,
        };
        let mut line = serde_json::to_vec(&frame).expect("a frame is always valid JSON");
        line.push(b'\n');
        // A caller that has gone is noticed by the guard of its body.
        let _ = head.frames.send(line.into());
    }
}

/// All that an engine keeps of one stream.
#[derive(Debug)]
pub(crate) struct StageStream {
    /// The newest attempt seen.
    pub(crate) attempt: Attempt,
    pub(crate) kv: Option<KvState>,
    pub(crate) job: Option<StageJob>,
    /// When the stream was last worked on.
    pub(crate) touched: Instant,
}

impl StageStream {
    /// Makes the record of a stream that was not known.
    pub(crate) fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            kv: None,
            job: None,
            touched: Instant::now(),
        }
    }

    /// Returns the job if it is of this attempt.
    pub(crate) fn job_of(&mut self, attempt: Attempt) -> Option<&mut StageJob> {
        self.job
            .as_mut()
            .filter(|job| job.request.attempt == attempt)
    }
}
