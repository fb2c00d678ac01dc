//! Finds out whether endpoints crash on the parts of a request's prompt.

use std::net::SocketAddr;

use pistachioyard_policy::{EndpointRun, LossCheck, RunFate, WritingTime};
use pistachioyard_wire::PromptPart;

use super::crash_check::Framing;
use crate::prelude::*;
use crate::router::Router;

/// Holds one attempt of a request with shared prompt parts at an endpoint.
#[derive(Clone)]
pub(super) struct PartTrial {
    router: Arc<Router>,
    parts: Arc<[PromptPart]>,
    endpoint: EndpointId,
    address: SocketAddr,
    /// The run of the endpoint to which the request was sent.
    run: BootId,
    started_unix_ms: Option<u64>,
    writing: WritingTime,
}

impl PartTrial {
    /// Creates the trial of a request that is about to be sent; none if its prompt has no parts
    /// to share, or if the endpoint is gone.
    pub(super) fn new(
        router: &Arc<Router>,
        parts: &Arc<[PromptPart]>,
        endpoint: &EndpointId,
    ) -> Option<Self> {
        if parts.is_empty() {
            return None;
        }
        let endpoints = router.endpoints.lock();
        let record = endpoints.get(endpoint)?;
        Some(Self {
            router: router.clone(),
            parts: parts.clone(),
            endpoint: record.endpoint.clone(),
            address: record.address,
            run: Router::endpoint_run(record),
            started_unix_ms: record.state.started_unix_ms,
            writing: WritingTime::default(),
        })
    }

    /// Records that a piece of the answer arrived.
    pub(super) fn record_piece(&mut self, now: Instant) {
        if self.writing.record_piece(now) {
            self.router.note_sound_parts(&self.parts);
        }
    }

    /// Records that a successful answer has ended.
    pub(super) fn record_end(&self, framing: Framing) {
        match framing {
            Framing::Explicit => self.router.note_sound_parts(&self.parts),
            Framing::UntilClose => self.record_loss(),
        }
    }

    /// Records that the connection broke before the end of the answer. If the endpoint has
    /// crashed, the parts are suspects.
    pub(super) fn record_loss(&self) {
        let check = self
            .router
            .parts
            .lock()
            .record_loss(self.run, &self.parts, Instant::now());
        match check {
            LossCheck::Known => {}
            LossCheck::Probe => {
                let (router, id, address) = (self.router.clone(), self.run, self.address);
                let run = EndpointRun {
                    endpoint: self.endpoint.clone(),
                    started_unix_ms: self.started_unix_ms,
                };
                tokio::spawn(async move {
                    match router.find_fate(&run, address).last().await {
                        RunFate::Ended => router.note_part_crash(&run.endpoint, id).await,
                        RunFate::Alive | RunFate::Unknown => router.parts.lock().dismiss_loss(id),
                    }
                });
            }
        }
    }
}
