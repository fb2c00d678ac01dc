//! Runs a stream on one path.

mod memory;
mod pause_check;
mod peer;
mod refusal;
mod repair;

use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachioyard_platform::{EventSplitter, OutboundRequest, decode_answer_head};
use pistachioyard_policy::{
    EndpointRun, Path, PipelineSpec, Repeatability, RequestSize, StallDetector, SuspectReason,
};
use pistachioyard_wire::RequestDigest;

pub(super) use self::repair::RepairResult;
use super::PauseAction;
use crate::client::{read_whole, too_long};
use crate::error::{AnswerPart, CallError};
use crate::final_response::FinalResponse;
use crate::memory::HeldMemory;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_answer::AnswerTo;
use crate::router::endpoint_client::{Connection, MAX_ANSWER_BYTES, Reuse};
use crate::router::filter::Call;
use crate::router::filter::crash_check::{Framing, MIN_SILENCE, check_after_silence};
use crate::router::filter::part_trial::PartTrial;
use crate::router::filter::path::FoundPath;
use crate::router::filter::plain::endpoint_request;
use crate::router::relay_hop::{self, Arrival};

/// The maximum size of one event, in bytes; an event holds the text of a few tokens. All streams
/// of an endpoint may reach it at once, each with a buffer of up to twice this size.
const MAX_EVENT_BYTES: usize = 128_000;

/// Says how sending a request along a path ended.
pub(super) enum OpenResult {
    /// A stream started, whose events follow.
    Stream(StatusCode, HeaderMap),
    /// A complete answer arrived that is not a stream.
    Complete(StatusCode, HeaderMap, Bytes),
    /// An endpoint of the path refused the request without running it.
    NotRun,
    /// A peer refused the request without running it.
    NotRunByPeer(Arrival),
    /// A peer refused the request without running it, and so would others; holds its answer.
    Refused(StatusCode, HeaderMap, Bytes),
    /// No connection to the first endpoint was made, so nothing was sent.
    NotReached,
    /// The request may have run, but its answer was lost.
    Lost(String),
    /// The path is silent and may still answer; holds the reason.
    Silent(String),
    /// The request may have run, but a part of its answer is longer than its limit.
    TooLong(String),
}

/// Says what the next read of a stream returned.
pub(super) enum ReadResult {
    /// There may be new data, so the splitter is checked again.
    Data,
    /// The answer is complete, as its framing tells.
    End(Framing),
    /// An event is longer than its limit, so the path is left; holds the first endpoint and the
    /// reason.
    TooLong(EndpointId, String),
    /// The path is lost; holds the run of its first endpoint if that may have crashed, and the
    /// reason.
    Lost(Option<FirstRun>, String),
}

/// Holds the run of the first endpoint of a path, and its address.
pub(super) type FirstRun = (EndpointRun, SocketAddr);

/// Resolves to the head of the answer to a request that was sent.
type Sending = Pin<Box<dyn Future<Output = Result<(FinalResponse, Connection), CallError>> + Send>>;

/// Holds the run of a stream on one path, and counts it as load of the path until it is
/// dropped.
pub(super) struct PathRun {
    router: Arc<Router>,
    spec: Option<Arc<PipelineSpec>>,
    path: Path,
    /// Whether a peer serves the request in place of an endpoint.
    is_through_peer: bool,
    /// The run of the first endpoint when the path was chosen.
    first_run: EndpointRun,
    size: RequestSize,
    /// Whether the prompt is still being read, so that it counts at the endpoints of the path.
    is_reading: bool,
    /// Whether the request was sent to the first endpoint on no other path before.
    pub(super) is_only_run_at_first: bool,
    /// The request until the head of its answer arrives.
    sending: Option<Sending>,
    answer: Option<(Incoming, Option<Connection>, Option<Duration>)>,
    framing: Framing,
    /// The digest of the request, and since when the first endpoint has sent nothing of its
    /// answer; none if it owes nothing, or is watched already.
    unanswered: Option<(RequestDigest, Instant)>,
    /// Finds out whether the first endpoint crashes on the prompt; none if nothing was sent.
    trial: Option<PartTrial>,
    /// The memory of an event that is not complete.
    held: HeldMemory,
    caller: SocketAddr,
}

impl Drop for PathRun {
    fn drop(&mut self) {
        // An endpoint that leaves a request without an answer may have ended under it.
        if let Some((digest, since)) = self.unanswered
            && since.elapsed() >= MIN_SILENCE
            && let Some((run, address)) = self.first_run()
        {
            check_after_silence(&self.router, digest, run, address);
        }
        self.end_reading();
        self.router.load.lock().end(&self.path.stages, self.size);
        self.router.capacity_changed.notify_one();
    }
}

impl PathRun {
    pub(super) fn new(
        router: Arc<Router>,
        spec: Option<Arc<PipelineSpec>>,
        found: FoundPath,
        size: RequestSize,
        caller: SocketAddr,
    ) -> Self {
        let FoundPath {
            path,
            peer,
            first_run,
            ..
        } = found;
        // A peer counts the prompts that are passed on to it.
        let is_reading = spec.is_some() && peer.is_none();
        {
            let mut load = router.load.lock();
            load.begin(&path.stages, size);
            if is_reading {
                load.reading_mut().begin(&path.stages, size.prompt);
            }
        }
        let held = HeldMemory::new(router.memory.events.clone(), caller);
        Self {
            held,
            caller,
            router,
            spec,
            path,
            is_through_peer: peer.is_some(),
            first_run,
            size,
            is_reading,
            is_only_run_at_first: true,
            sending: None,
            answer: None,
            framing: Framing::UntilClose,
            unanswered: None,
            trial: None,
        }
    }

    /// Returns the first endpoint of the path, to which the request is sent.
    pub(super) fn first_endpoint(&self) -> &EndpointId {
        &self.path.stages[0].endpoint
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// While the first endpoint is slow to answer, the path is checked, since an endpoint
    /// further along it may be dead. A silent path can be waited for with
    /// [`PathRun::outwait`].
    pub(super) async fn open(&mut self, call: &Call, last_id: Option<u64>) -> OpenResult {
        let Some(time_left) = call.time_left() else {
            return deadline_passed();
        };
        let parts = &call.head.prompt_parts;
        self.trial = PartTrial::new(&self.router, parts, self.first_endpoint());
        self.sending = Some(self.send(call, last_id, time_left));
        self.unanswered = Some((call.digest, Instant::now()));
        let may_repeat = call.route.repeatability != Repeatability::AtMostOnce;
        let mut stall_detector = StallDetector::new(
            call.route.latency_target,
            call.route.gap_target,
            Instant::now(),
        );
        loop {
            let Some(left) = call.time_left() else {
                return deadline_passed();
            };
            let check_timeout = match may_repeat {
                true => stall_detector.until_next_check(Instant::now()).min(left),
                false => left,
            };
            match tokio::time::timeout(check_timeout, self.answered()).await {
                Ok(sent) => return self.classify_sent(call, sent).await,
                Err(_) if !may_repeat => return deadline_passed(),
                Err(_) => match self.check_pause(call, &mut stall_detector).await {
                    PauseAction::Wait => {}
                    PauseAction::Leave(_, why) => return OpenResult::Silent(why),
                },
            }
        }
    }

    /// Waits for the head of the answer on a silent path until the deadline.
    pub(super) async fn outwait(&mut self, call: &Call) -> OpenResult {
        let Some(left) = call.time_left() else {
            return deadline_passed();
        };
        match tokio::time::timeout(left, self.answered()).await {
            Ok(sent) => self.classify_sent(call, sent).await,
            Err(_) => deadline_passed(),
        }
    }

    fn send(&self, call: &Call, last_id: Option<u64>, time_left: Duration) -> Sending {
        let first = &self.path.stages[0];
        let req = match self.is_through_peer {
            true => relay_hop::request(&self.router, call, time_left, last_id),
            false => endpoint_request(
                call,
                &OutboundRequest {
                    endpoint: &first.endpoint,
                    workspace: call.workspace.as_ref().map(|w| &w.name),
                    time_left,
                    path: self.spec.as_ref().map_or(&[], |_| &self.path.stages),
                    last_event_id: last_id,
                    urgency: Some(call.urgency()),
                },
            ),
        };
        let reuse = Reuse::of(call.route.repeatability);
        let (router, address) = (self.router.clone(), first.address);
        Box::pin(async move { router.client.send(address, req, reuse).await })
    }

    /// Waits for the head of the answer; never returns if no request is being sent.
    async fn answered(&mut self) -> Result<(FinalResponse, Connection), CallError> {
        match &mut self.sending {
            Some(sending) => {
                let sent = sending.await;
                self.sending = None;
                sent
            }
            None => std::future::pending().await,
        }
    }

    async fn classify_sent(
        &mut self,
        call: &Call,
        sent: Result<(FinalResponse, Connection), CallError>,
    ) -> OpenResult {
        self.unanswered = None;
        match sent {
            Ok((response, connection)) => self.classify(call, response, connection).await,
            Err(CallError::NotSent { .. } | CallError::Refused { .. }) => {
                let first = self.first_endpoint();
                self.router.suspect(first, SuspectReason::NoAnswer);
                OpenResult::NotReached
            }
            Err(CallError::Shortage { .. }) => OpenResult::NotRun,
            Err(e @ CallError::TooLong { .. }) => OpenResult::TooLong(e.to_string()),
            Err(e) => {
                self.suspect_first_endpoint();
                self.check_for_crash(call).await;
                OpenResult::Lost(e.to_string())
            }
        }
    }

    async fn classify(
        &mut self,
        call: &Call,
        response: FinalResponse,
        connection: Connection,
    ) -> OpenResult {
        let (mut parts, body) = response.into_parts();
        let head = decode_answer_head(parts.status, &parts.headers);
        if !head.may_answer(Some(&call.head.request_id)) {
            return OpenResult::Lost("the answer belongs to another request".to_owned());
        }
        if self.is_through_peer {
            let arrival = self.router.take_relay_marks(&mut parts.headers);
            match (relay_hop::is_not_run(&head), head.status) {
                (true, StatusCode::TOO_MANY_REQUESTS) => {
                    return self
                        .read_refusal(call, head.status, parts.headers, body)
                        .await;
                }
                (true, _) => return OpenResult::NotRunByPeer(arrival),
                (false, _) => {}
            }
        } else {
            self.router
                .note_answer(&self.first_run, &head, AnswerTo::Request);
        }
        if head.is_not_run {
            self.note_refusal(&head);
            return OpenResult::NotRun;
        }
        if head.status.is_success() && !head.is_signed {
            return OpenResult::Lost("the answer lacks the endpoint's signature".to_owned());
        }
        if head.status.is_success() {
            let kept = (!head.closes).then_some(connection);
            self.framing = Framing::of(&parts.headers);
            self.answer = Some((body, kept, head.idle_limit));
            self.unanswered = Some((call.digest, Instant::now()));
            return OpenResult::Stream(parts.status, parts.headers);
        }
        if let Some(endpoint) = head.at_fault.and_then(|at| self.endpoint_at(at)) {
            self.router.suspect(&endpoint, SuspectReason::RequestsStall);
        }
        let to = self.path.stages[0].address;
        let reading = read_whole(to, body, MAX_ANSWER_BYTES, &self.router.client.memory);
        let time_left = call.time_left().unwrap_or_default();
        let read = tokio::time::timeout(time_left, reading).await;
        match read.unwrap_or(Err(CallError::Timeout { to })) {
            Ok(body) if head.is_signed => OpenResult::Complete(parts.status, parts.headers, body),
            Ok(_) => OpenResult::Lost(format!("the endpoint answered with status {}", head.status)),
            Err(e @ CallError::TooLong { .. }) => OpenResult::TooLong(e.to_string()),
            Err(e) => OpenResult::Lost(e.to_string()),
        }
    }

    fn endpoint_at(&self, address: SocketAddr) -> Option<EndpointId> {
        let endpoints = self.router.endpoints.lock();
        endpoints
            .by_address(address)
            .map(|record| record.endpoint.clone())
    }

    /// Marks the first endpoint as suspect, since its connection broke as in a crash.
    fn suspect_first_endpoint(&self) {
        self.router.suspect(
            &self.path.stages[0].endpoint,
            SuspectReason::ConnectionBroke,
        );
        if let Some(trial) = &self.trial {
            trial.record_loss();
        }
    }

    /// Reads the next data into the splitter, from which all complete events were taken, after the
    /// head of the answer if it is still due.
    pub(super) async fn read(&mut self, call: &Call, splitter: &mut EventSplitter) -> ReadResult {
        if self.sending.is_some() {
            let sent = self.answered().await;
            return match self.classify_sent(call, sent).await {
                OpenResult::Stream(..) => ReadResult::Data,
                OpenResult::Lost(why) => ReadResult::Lost(self.first_run(), why),
                OpenResult::TooLong(why) => ReadResult::TooLong(self.first_endpoint().clone(), why),
                OpenResult::Complete(status, ..) => {
                    ReadResult::Lost(None, format!("the endpoint answered with status {status}"))
                }
                OpenResult::NotRun
                | OpenResult::NotRunByPeer(_)
                | OpenResult::Refused(..)
                | OpenResult::NotReached
                | OpenResult::Silent(..) => {
                    ReadResult::Lost(None, "no endpoint ran the request".to_owned())
                }
            };
        }
        let Some((body, ..)) = &mut self.answer else {
            return ReadResult::Lost(None, "there is no answer to read".to_owned());
        };
        let first = &self.path.stages[0];
        if splitter.buffered_bytes() > MAX_EVENT_BYTES {
            let e = too_long(first.address, AnswerPart::Event, MAX_EVENT_BYTES);
            return ReadResult::TooLong(first.endpoint.clone(), e.to_string());
        }
        let frame = body.frame().await;
        self.unanswered = match frame {
            Some(Ok(_)) => Some((call.digest, Instant::now())),
            Some(Err(_)) | None => None,
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    splitter.push(data);
                    if let Some(trial) = &mut self.trial {
                        trial.record_piece(Instant::now());
                    }
                }
                ReadResult::Data
            }
            Some(Err(_)) => {
                self.suspect_first_endpoint();
                ReadResult::Lost(self.first_run(), "the connection broke".to_owned())
            }
            None if splitter.has_remainder() => {
                if let Some(trial) = &self.trial {
                    trial.record_loss();
                }
                ReadResult::Lost(None, "the stream ended inside an event".to_owned())
            }
            None => {
                if let Some(trial) = &self.trial {
                    trial.record_end(self.framing);
                }
                self.keep_connection();
                ReadResult::End(self.framing)
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some((_, Some(connection), idle_limit)) = self.answer.take() {
            self.router.client.keep(connection, idle_limit);
        }
    }

    /// Ends the reading of the prompt, at the first event.
    pub(super) fn end_reading(&mut self) {
        if std::mem::take(&mut self.is_reading) {
            let mut load = self.router.load.lock();
            load.reading_mut().end(&self.path.stages, self.size.prompt);
            drop(load);
            self.router.capacity_changed.notify_one();
        }
    }

    /// Records that an event passed through all stages.
    pub(super) fn record_activity(&self, now: Instant) {
        if !self.is_through_peer {
            self.router.activity.lock().record(&self.path.stages, now);
        }
    }

    fn is_on_path(&self, endpoint: &EndpointId) -> bool {
        self.path
            .stages
            .iter()
            .any(|stage| stage.endpoint == *endpoint)
    }
}

fn deadline_passed() -> OpenResult {
    OpenResult::Lost("the deadline has passed".to_owned())
}
