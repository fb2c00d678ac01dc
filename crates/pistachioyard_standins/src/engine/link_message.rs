//! What engines send each other over their links.
//!
//! One WebSocket message holds any number of CBOR items one after the other, so
//! that a batch of steps costs one write.

use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::{Attempt, DataCentre, EndpointId, StageFailure, StreamId, StreamRequest};
use serde::{Deserialize, Serialize};

/// The most lateness that is made up for; a longer hold-up costs that time.
pub(crate) const MAX_LATE: Duration = Duration::from_millis(20);

/// The receiver's first word on a new link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Hello {
    /// The endpoint that answers.
    pub(crate) endpoint: EndpointId,
    /// Its data centre, which decides the link time.
    pub(crate) data_centre: DataCentre,
}

/// One step of a stream, as it enters a stage.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct Step {
    /// The place in the answer of the token that the step leads to.
    #[serde(rename = "i")]
    pub(crate) index: u32,
    /// The state after the layers of the earlier stages.
    #[serde(rename = "s")]
    pub(crate) state: u64,
    /// The token before, if the step is not the first of its attempt.
    #[serde(rename = "t")]
    pub(crate) token: Option<u64>,
    /// How late it was sent, in microseconds.
    #[serde(rename = "l")]
    pub(crate) late_us: u32,
}

/// One item of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum LinkItem {
    /// Opens an attempt at a stage and brings its first step.
    #[serde(rename = "O")]
    Open {
        /// The place of the receiver in the chain.
        position: usize,
        /// What the head was asked; it carries prompt and tokens for a replay.
        request: Arc<StreamRequest>,
        /// The first step.
        step: Step,
    },
    /// Brings a later step.
    #[serde(rename = "S")]
    Step {
        #[serde(rename = "r")]
        stream: StreamId,
        #[serde(rename = "a")]
        attempt: Attempt,
        #[serde(rename = "p")]
        step: Step,
    },
    /// Brings a token from the last stage to the head.
    #[serde(rename = "T")]
    Token {
        #[serde(rename = "r")]
        stream: StreamId,
        #[serde(rename = "a")]
        attempt: Attempt,
        #[serde(rename = "i")]
        index: u32,
        #[serde(rename = "t")]
        token: u64,
        #[serde(rename = "l")]
        late_us: u32,
    },
    /// Tells the head that a stage cannot go on.
    #[serde(rename = "F")]
    Failed {
        stream: StreamId,
        attempt: Attempt,
        failure: StageFailure,
    },
    /// Ends an attempt at the stages that follow the head; KV is kept.
    #[serde(rename = "C")]
    Close { stream: StreamId, attempt: Attempt },
}

impl LinkItem {
    /// Notes how late the item is sent, for steps and tokens.
    ///
    /// The receiver counts its own costs from the time at which the item was due,
    /// so that late timers do not add up along a chain.
    pub(crate) fn set_late(&mut self, late: Duration) {
        let us = late.min(MAX_LATE).as_micros() as u32;
        match self {
            Self::Open { step, .. } | Self::Step { step, .. } => step.late_us = us,
            Self::Token { late_us, .. } => *late_us = us,
            Self::Failed { .. } | Self::Close { .. } => {}
        }
    }
}

/// Appends an item to a message.
pub(crate) fn encode_item<T: Serialize>(item: &T, buf: &mut Vec<u8>) {
    ciborium::into_writer(item, buf).expect("writing to memory does not fail");
}
