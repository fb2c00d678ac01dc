//! The streams that are in progress at this entry.

use std::collections::HashMap;

use parking_lot::Mutex;
use pistachioyard_wire::{RequestDigest, StageRef};

use crate::prelude::*;

/// Describes one stream in progress.
#[derive(Clone, Debug)]
pub(crate) struct ActiveStream {
    /// The digest of its request.
    pub(crate) digest: RequestDigest,
    /// The chain of its current attempt.
    pub(crate) stages: Arc<[StageRef]>,
    /// Whether the current attempt has produced a token.
    pub(crate) has_progressed: bool,
    /// The endpoint that the current attempt is suspected to have crashed.
    suspected_of: Option<EndpointId>,
}

/// Holds the streams in progress and finds the suspects when an endpoint crashes.
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
            has_progressed: false,
            suspected_of: None,
        };
        self.streams.lock().insert(stream, active);
    }

    /// Records that the current attempt has produced a token.
    pub(crate) fn record_progress(&self, stream: StreamId) {
        if let Some(active) = self.streams.lock().get_mut(&stream) {
            active.has_progressed = true;
        }
    }

    /// Removes a stream that has ended.
    pub(crate) fn end(&self, stream: StreamId) {
        self.streams.lock().remove(&stream);
    }

    /// Returns the requests that [`StreamTable::mark_suspects`] would mark.
    pub(crate) fn possible_suspects(&self, endpoint: &EndpointId) -> Vec<RequestDigest> {
        let streams = self.streams.lock();
        let possible = streams.values().filter(|active| {
            !active.has_progressed && active.stages.iter().any(|s| s.endpoint == *endpoint)
        });
        possible.map(|active| active.digest).collect()
    }

    /// Marks and returns the requests that may have crashed an endpoint: those whose current
    /// attempt has a stage there and has produced no token.
    ///
    /// An attempt is suspected of one crash only. It ends with the first crash, so it cannot have
    /// caused the loss of every endpoint that is lost at the same time.
    pub(crate) fn mark_suspects(&self, endpoint: &EndpointId) -> Vec<RequestDigest> {
        self.streams
            .lock()
            .values_mut()
            .filter(|active| !active.has_progressed)
            .filter(|active| active.stages.iter().any(|s| s.endpoint == *endpoint))
            .filter(|active| active.suspected_of.as_ref().is_none_or(|e| e == endpoint))
            .map(|active| {
                active.suspected_of = Some(endpoint.clone());
                active.digest
            })
            .collect()
    }
}
