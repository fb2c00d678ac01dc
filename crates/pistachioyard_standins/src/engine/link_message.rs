//! The messages that engines exchange over their links.
//!
//! One WebSocket message is a sequence of CBOR items, so that a batch of steps costs
//! one write.

use std::sync::Arc;
use std::time::Duration;

use pistachioyard_wire::{Attempt, DataCentre, EndpointId, StageFailure, StreamId, StreamRequest};
use serde::{Deserialize, Serialize};

/// The maximum lateness that is compensated for; delay beyond it lowers the rate.
pub(crate) const MAX_LATENESS: Duration = Duration::from_millis(20);

/// The handshake message that the receiver sends first on a new link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Hello {
    /// The endpoint that accepted the link.
    pub(crate) endpoint: EndpointId,
    /// The data centre of the endpoint, which determines the link time.
    pub(crate) data_centre: DataCentre,
}

/// Holds one step of a stream, as it enters a stage.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(crate) struct Step {
    /// The index in the answer of the token that the step contributes to.
    #[serde(rename = "i")]
    pub(crate) index: u32,
    /// The state after the layers of the earlier stages.
    #[serde(rename = "s")]
    pub(crate) state: u64,
    /// The previous token; `None` in the first step of an attempt.
    #[serde(rename = "t")]
    pub(crate) token: Option<u64>,
    /// How late the step was sent, in microseconds.
    #[serde(rename = "l")]
    pub(crate) late_us: u32,
}

/// Holds one item of a link message.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum LinkItem {
    /// Opens an attempt at a stage and carries its first step.
    #[serde(rename = "O")]
    Open {
        /// The position of the receiver in the chain.
        position: usize,
        /// The request to the head, with the prompt and the tokens that a replay needs.
        request: Arc<StreamRequest>,
        /// The first step.
        step: Step,
    },
    /// Carries a later step.
    #[serde(rename = "S")]
    Step {
        #[serde(rename = "r")]
        stream: StreamId,
        #[serde(rename = "a")]
        attempt: Attempt,
        #[serde(rename = "p")]
        step: Step,
    },
    /// Carries a token from the last stage to the head.
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
    /// Reports to the head that a stage cannot continue.
    #[serde(rename = "F")]
    Failed {
        stream: StreamId,
        attempt: Attempt,
        failure: StageFailure,
    },
    /// Ends an attempt at the stages after the head; the KV cache is kept.
    #[serde(rename = "C")]
    Close { stream: StreamId, attempt: Attempt },
}

impl LinkItem {
    /// Sets how late a step or token is sent, up to [`MAX_LATENESS`].
    ///
    /// The receiver counts its own costs from the time at which the item was due, so
    /// that late timers do not add up along a chain.
    pub(crate) fn set_lateness(&mut self, late: Duration) {
        let us = late.min(MAX_LATENESS).as_micros() as u32;
        match self {
            Self::Open { step, .. } | Self::Step { step, .. } => step.late_us = us,
            Self::Token { late_us, .. } => *late_us = us,
            Self::Failed { .. } | Self::Close { .. } => {}
        }
    }
}

/// Appends the CBOR encoding of an item to a message.
pub(crate) fn encode_item<T: Serialize>(item: &T, buf: &mut Vec<u8>) {
    ciborium::into_writer(item, buf).expect("writing to memory does not fail");
}
