//! Finds out whether endpoints crash on the parts of a request's prompt.

use std::net::SocketAddr;

use pistachioyard_policy::{EndpointRun, LossCheck, RunFate, WritingTime};
use pistachioyard_wire::PromptPart;

use super::crash_check::Framing;
use crate::prelude::*;
use crate::router::Router;

/// Says how an answer ended that does not mark its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// It may be whole.
    Whole,
    /// It is not.
    Broken,
}

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

    /// Records that a successful answer has ended. Where its end may also be a crash, it proves the
    /// parts sound once the endpoint has answered a probe that was sent later.
    pub(super) fn record_end(&self, framing: Framing) {
        match framing {
            Framing::Explicit => self.router.note_sound_parts(&self.parts),
            Framing::UntilClose => self.judge(Ending::Whole),
        }
    }

    /// Records that the connection broke before the end of the answer. If the endpoint has
    /// crashed, the parts are suspects.
    pub(super) fn record_loss(&self) {
        self.judge(Ending::Broken);
    }

    fn judge(&self, ending: Ending) {
        let (check, is_in_doubt) = {
            let (mut parts, now) = (self.router.parts.lock(), Instant::now());
            let is_in_doubt = parts.has_suspects(&self.parts, now);
            (parts.record_loss(self.run, &self.parts, now), is_in_doubt)
        };
        if is_in_doubt && (check == LossCheck::Probe || ending == Ending::Whole) {
            tokio::spawn(self.clone().find_out(check, ending));
        }
    }

    async fn find_out(self, check: LossCheck, ending: Ending) {
        let run = EndpointRun {
            endpoint: self.endpoint.clone(),
            started_unix_ms: self.started_unix_ms,
        };
        let fate = self.router.find_fate(&run, self.address).last().await;
        match (fate, check) {
            (RunFate::Ended, LossCheck::Probe) => {
                self.router.note_part_crash(&run.endpoint, self.run).await;
            }
            (RunFate::Alive | RunFate::Unknown, LossCheck::Probe) => {
                self.router.parts.lock().dismiss_loss(self.run);
            }
            (_, LossCheck::Known) => {}
        }
        if fate != RunFate::Alive || ending == Ending::Broken {
            return;
        }
        // Others may have begun that judgement before this answer ended.
        let later = self.router.find_fate(&run, self.address).last().await;
        if later == RunFate::Alive {
            self.router.note_sound_parts(&self.parts);
        }
    }
}
