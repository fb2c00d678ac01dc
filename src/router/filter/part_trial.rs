//! Finds out whether endpoints crash on the parts of a request's prompt.

use std::net::SocketAddr;

use http::{HeaderMap, header};
use pistachioyard_policy::{LossCheck, WritingTime};
use pistachioyard_wire::PromptPart;

use super::report_cache::fetch;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;

/// How long an endpoint may take to report after it has lost an answer; a healthy one answers
/// within a few ms.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// The number of reports that a crashed endpoint leaves unanswered, unless it refuses the
/// connection. A single connection may also be reset while its endpoint lives.
const CRASH_PROBES: u32 = 2;
/// The interval between two such probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Says how the end of an answer is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// By a length or by chunks.
    Explicit,
    /// By the end of the connection, which may also be a crash.
    UntilClose,
}

impl Framing {
    /// Returns how an answer with these headers is framed.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        let is_explicit = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        match is_explicit {
            true => Self::Explicit,
            false => Self::UntilClose,
        }
    }
}

/// Holds one attempt of a request with shared prompt parts at an endpoint.
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
                let (router, run) = (self.router.clone(), self.run);
                let (address, started) = (self.address, self.started_unix_ms);
                let endpoint = self.endpoint.clone();
                tokio::spawn(async move {
                    if has_crashed(&router, &endpoint, address, started).await {
                        router.note_part_crash(&endpoint, run).await;
                    } else {
                        router.parts.lock().dismiss_loss(run);
                    }
                });
            }
        }
    }
}

/// Returns whether the endpoint run that started at this time no longer answers.
async fn has_crashed(
    router: &Router,
    endpoint: &EndpointId,
    address: SocketAddr,
    started: Option<u64>,
) -> bool {
    for attempt in 0..CRASH_PROBES {
        if attempt > 0 {
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        let asked = tokio::time::timeout(REPORT_TIMEOUT, fetch(router, endpoint, address));
        match asked.await {
            Ok(Ok(report)) => return started.is_some() && report.started_unix_ms != started,
            // An endpoint of a plain service has no report, but it answers.
            Ok(Err(
                CallError::Malformed { .. } | CallError::Status { .. } | CallError::TooLong { .. },
            )) => return false,
            Ok(Err(CallError::Refused { .. })) => return true,
            Ok(Err(
                CallError::NotSent { .. }
                | CallError::AnswerLost { .. }
                | CallError::Timeout { .. },
            ))
            | Err(_) => {}
        }
    }
    true
}
