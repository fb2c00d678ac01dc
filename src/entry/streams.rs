//! The streams that this entry has in progress.

use std::collections::HashMap;

use parking_lot::Mutex;
use pistachioyard_wire::{RequestDigest, StageRef};

use crate::prelude::*;

/// One stream in progress.
#[derive(Clone, Debug)]
pub(crate) struct ActiveStream {
    /// What its request asks.
    pub(crate) digest: RequestDigest,
    /// The chain of its current attempt.
    pub(crate) stages: Arc<[StageRef]>,
    /// Whether the current attempt has produced a token.
    pub(crate) progressed: bool,
    /// The endpoint whose crash the current attempt is suspected of.
    accused_of: Option<EndpointId>,
}

/// Finds the streams that had a stage on an endpoint.
#[derive(Default)]
pub(crate) struct StreamTable {
    streams: Mutex<HashMap<StreamId, ActiveStream>>,
}

impl StreamTable {
    /// Records the chain of a new attempt.
    pub(crate) fn begin_attempt(
        &self,
        stream: StreamId,
        digest: RequestDigest,
        stages: Arc<[StageRef]>,
    ) {
        let active = ActiveStream {
            digest,
            stages,
            progressed: false,
            accused_of: None,
        };
        self.streams.lock().insert(stream, active);
    }

    /// Records that the current attempt has produced a token.
    pub(crate) fn progressed(&self, stream: StreamId) {
        if let Some(active) = self.streams.lock().get_mut(&stream) {
            active.progressed = true;
        }
    }

    /// Forgets a stream that has ended.
    pub(crate) fn end(&self, stream: StreamId) {
        self.streams.lock().remove(&stream);
    }

    /// Returns the requests that may have crashed an endpoint: those whose current
    /// attempt had a stage there and has produced no token.
    ///
    /// An attempt is accused of one crash only. It ends with the first one, so
    /// endpoints that are lost at the same time cannot all be its doing.
    pub(crate) fn accuse(&self, endpoint: &EndpointId) -> Vec<RequestDigest> {
        self.streams
            .lock()
            .values_mut()
            .filter(|active| !active.progressed)
            .filter(|active| active.stages.iter().any(|s| s.endpoint == *endpoint))
            .filter(|active| active.accused_of.as_ref().is_none_or(|of| of == endpoint))
            .map(|active| {
                active.accused_of = Some(endpoint.clone());
                active.digest
            })
            .collect()
    }
}
