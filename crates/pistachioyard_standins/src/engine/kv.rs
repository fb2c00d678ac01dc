//! Stream progress, cancellation, and export and import of KV cache.

use std::sync::Arc;

use pistachioyard_wire::{Attempt, KvSnapshot, StageFailure, StreamId, StreamProgress};
use tokio::time::Instant;

use super::core::Engine;
use super::stream::{KvState, StageStream};

/// Reports why an engine refuses to import KV cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum ImportRefusal {
    #[error("the stream is running on this endpoint, so its KV cache cannot be replaced")]
    Running,
    #[error("the endpoint does not hold the layers of this KV cache")]
    NotHeld,
}

impl Engine {
    /// Returns the progress of a stream, or `None` if the stream is unknown.
    pub(crate) fn progress(&self, stream: StreamId) -> Option<StreamProgress> {
        let core = self.lock();
        let record = core.streams.get(&stream)?;
        let job = record.job.as_ref();
        let kv = record.kv.as_ref().filter(|kv| kv.attempt == record.attempt);
        Some(StreamProgress {
            attempt: record.attempt,
            positions: kv.map_or(0, |kv| kv.positions),
            busy: job.is_some_and(|job| job.step.is_some()),
        })
    }

    /// Cancels the attempts of a stream up to and including `up_to`; later ones may start.
    pub(crate) fn cancel(self: &Arc<Self>, stream: StreamId, up_to: Attempt) {
        let mut core = self.lock();
        let record = core
            .streams
            .entry(stream)
            .or_insert_with(|| StageStream::new(up_to));
        record.attempt = record.attempt.max(up_to);
        let running = record.job.as_ref().map(|job| job.request.attempt);
        if let Some(attempt) = running.filter(|attempt| *attempt <= up_to) {
            self.fail(&mut core, stream, attempt, StageFailure::Cancelled);
        }
    }

    /// Returns a snapshot of the KV cache of a stream, or `None` if there is none.
    pub(crate) fn export_kv(&self, stream: StreamId) -> Option<KvSnapshot> {
        let core = self.lock();
        let kv = core.streams.get(&stream)?.kv.as_ref()?;
        Some(KvSnapshot {
            stream,
            attempt: kv.attempt,
            model: kv.model.clone(),
            version: kv.version.clone(),
            layers: kv.layers,
            positions: kv.positions,
            prefix_digest: kv.prefix_digest,
        })
    }

    /// Imports the KV cache of a stream, so that the positions held need no prefill.
    ///
    /// # Errors
    ///
    /// Fails when the stream is running on this engine or its layers are not held.
    pub(crate) fn import_kv(&self, snapshot: KvSnapshot) -> Result<(), ImportRefusal> {
        let mut core = self.lock();
        let is_held = core.held.as_ref().is_some_and(|held| {
            held.model == snapshot.model
                && held.version == snapshot.version
                && held.layers.covers(snapshot.layers)
        });
        if !is_held {
            return Err(ImportRefusal::NotHeld);
        }
        let record = core
            .streams
            .entry(snapshot.stream)
            .or_insert_with(|| StageStream::new(snapshot.attempt));
        if record.job.is_some() {
            return Err(ImportRefusal::Running);
        }
        record.attempt = record.attempt.max(snapshot.attempt);
        record.touched = Instant::now();
        record.kv = Some(KvState {
            model: snapshot.model,
            version: snapshot.version,
            layers: snapshot.layers,
            positions: snapshot.positions,
            prefix_digest: snapshot.prefix_digest,
            prompt_tokens: 0,
            attempt: snapshot.attempt,
        });
        Ok(())
    }
}
