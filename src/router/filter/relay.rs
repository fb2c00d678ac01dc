//! Relays the events of a stream to its caller, across all paths that it takes.
//!
//! Only complete events are relayed, each once and in order. When an endpoint of the path
//! is lost, the stream resumes on another path after its last event. The caller sees one
//! answer, with the head that the first path returned.

mod events;
mod path_run;
mod recover;
mod silence;
mod unread_events;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use pistachioyard_platform::{EventSplitter, encode_answer_headers};
use pistachioyard_policy::{PipelineSpec, Repeatability, RequestSize, StallDetector};
use pistachioyard_wire::ServiceName;

use super::admit::admit;
use super::crash_check::{check_run_for_crash, record_end};
use super::path::{FirstEventTarget, FoundPath, PathRequest};
use super::record::Record;
use super::{Call, no_capacity, result_lost};
use crate::lifecycle::InFlight;
use crate::prelude::*;
use crate::router::Router;
use crate::router::answer::StreamAborted;
use crate::router::relay_hop::Arrival;
use path_run::{OpenResult, PathRun, ReadResult};
use unread_events::UnreadEvents;

/// The number of refusals by endpoints after which the caller is refused; each refusal
/// ejects the endpoint at fault.
const MAX_REFUSALS: u32 = 4;
/// The retry delay for a caller when the endpoints are full, in ms; the time of a few dozen
/// tokens, in which other requests end.
const RETRY_AFTER_MS: u64 = 500;

/// Holds the start of an answer.
pub(crate) enum Start {
    /// A stream whose events follow.
    Stream(StatusCode, HeaderMap),
    /// A complete answer that is not a stream.
    Complete(StatusCode, HeaderMap, Bytes),
}

/// Relays one stream.
pub(crate) struct Relay {
    router: Arc<Router>,
    call: Arc<Call>,
    service: ServiceName,
    /// The model whose layers are split over endpoints; `None` for a plain service.
    spec: Option<Arc<PipelineSpec>>,
    size: RequestSize,
    path_run: Option<PathRun>,
    splitter: EventSplitter,
    unread: Arc<UnreadEvents>,
    /// The id of the last event that the caller has.
    last_id: Option<u64>,
    stall_detector: StallDetector,
    /// The number of path repairs tried so far.
    repairs: u32,
    /// The first endpoints of the paths on which the request may have begun to run.
    first_endpoints: Vec<EndpointId>,
    /// The first endpoints whose answers to this request were too long, which are not tried again.
    avoided: Vec<EndpointId>,
    record: Record,
    _in_flight: InFlight,
}

/// Says how an attempt failed, which decides whether another may follow.
#[derive(Clone, Debug)]
enum AttemptFailure {
    /// An endpoint refused the request without running it.
    NotRun,
    /// The request may have run.
    MayHaveRun(String),
}

/// Says what to do about a pause.
#[derive(Clone, Debug)]
enum PauseAction {
    /// Keep waiting.
    Wait,
    /// Leave the path; holds the lost endpoint, if one is known, and the reason.
    Leave(Option<EndpointId>, String),
}

impl Relay {
    /// Creates the relay of a stream that has not started.
    pub(crate) fn new(
        router: Arc<Router>,
        call: Call,
        service: ServiceName,
        spec: Option<Arc<PipelineSpec>>,
        size: RequestSize,
        in_flight: InFlight,
    ) -> Self {
        let last_id = call.head.last_event_id;
        let stall_detector = StallDetector::new(
            call.route.latency_target,
            call.route.gap_target,
            call.arrived_at,
        );
        Self {
            record: Record::placeholder(call.arrived_at),
            router,
            call: Arc::new(call),
            service,
            spec,
            size,
            path_run: None,
            splitter: EventSplitter::default(),
            unread: Arc::default(),
            last_id,
            stall_detector,
            repairs: 0,
            first_endpoints: Vec::new(),
            avoided: Vec::new(),
            _in_flight: in_flight,
        }
    }

    /// Swaps the record with the caller's.
    ///
    /// The relay has the record while it runs the stream, which ends after the head of the
    /// answer was sent; a request that was refused gets it back.
    pub(crate) fn swap_record(&mut self, record: &mut Record) {
        std::mem::swap(&mut self.record, record);
    }

    fn path_request<'a>(
        &'a self,
        first: Option<&'a EndpointId>,
        without: &'a [EndpointId],
    ) -> PathRequest<'a> {
        PathRequest {
            service: &self.service,
            spec: self.spec.as_deref(),
            size: self.size,
            first,
            without,
            first_event: self.first_event_target(),
            contender: None,
        }
    }

    /// Returns when the request has to get its first event; `None` once an endpoint may have run
    /// it, since it cannot be refused any more.
    fn first_event_target(&self) -> Option<FirstEventTarget> {
        (!self.may_have_run()).then(|| FirstEventTarget {
            arrived_at: self.call.arrived_at,
            latency_target: self.call.route.latency_target,
        })
    }

    fn may_repeat(&self) -> bool {
        self.call.route.repeatability == Repeatability::Resumable
    }

    /// Sends the request until an endpoint starts to answer it.
    pub(crate) async fn start(&mut self) -> Result<Start, Problem> {
        let mut refusals = 0;
        let mut why = "first";
        loop {
            let request = self.path_request(None, &self.avoided);
            let found = match admit(&self.router, &self.call, &request).await {
                Ok(found) => found,
                Err(_) if self.may_have_run() => {
                    return Err(result_lost("an attempt's answer was lost"));
                }
                Err(problem) => return Err(problem),
            };
            self.check_before_send().await?;
            let opened = match self.open(found, why).await {
                OpenResult::Silent(detail) => self.outlast_silent_start(&detail).await,
                opened => opened,
            };
            let failure = match opened {
                OpenResult::Stream(status, headers) => {
                    return Ok(Start::Stream(status, encode_answer_headers(&headers)));
                }
                OpenResult::Complete(status, headers, body) => {
                    return Ok(Start::Complete(
                        status,
                        encode_answer_headers(&headers),
                        body,
                    ));
                }
                OpenResult::Refused(status, headers, body) if !self.may_have_run() => {
                    return Ok(Start::Complete(status, headers, body));
                }
                OpenResult::NotRunByPeer(Arrival::None) => {
                    refusals += 1;
                    why = "not_run";
                    if refusals >= MAX_REFUSALS {
                        return Err(self.capacity_problem());
                    }
                    continue;
                }
                OpenResult::NotRun | OpenResult::NotRunByPeer(_) | OpenResult::Refused(..) => {
                    AttemptFailure::NotRun
                }
                OpenResult::NotReached => {
                    why = "not_reached";
                    continue;
                }
                OpenResult::Lost(detail)
                | OpenResult::Silent(detail)
                | OpenResult::TooLong(detail) => AttemptFailure::MayHaveRun(detail),
            };
            if self.call.time_left().is_none() {
                return Err(self.timeout_problem());
            }
            match failure {
                AttemptFailure::NotRun => {
                    refusals += 1;
                    why = "not_run";
                    if refusals >= MAX_REFUSALS || !self.router.try_retry(&self.service) {
                        return Err(self.capacity_problem());
                    }
                }
                AttemptFailure::MayHaveRun(detail) => {
                    why = "lost";
                    let is_allowed =
                        self.may_repeat() && self.may_start_again() && !self.is_quarantined();
                    if !is_allowed || !self.router.try_retry(&self.service) {
                        return Err(result_lost(detail));
                    }
                }
            }
        }
    }

    /// Returns whether an endpoint may have run the request.
    fn may_have_run(&self) -> bool {
        !self.first_endpoints.is_empty()
    }

    fn capacity_problem(&self) -> Problem {
        if self.may_have_run() {
            result_lost("an attempt's answer was lost; later ones were refused")
        } else {
            no_capacity(
                "the endpoints have no free capacity; retry later",
                self.router
                    .return_after_ms(&self.call, &self.service, RETRY_AFTER_MS),
            )
        }
    }

    /// Returns whether another endpoint may start to run the request.
    fn may_start_again(&self) -> bool {
        (self.first_endpoints.len() as u32) < self.call.max_attempts()
    }

    /// Sends the request along a path and waits for the head of the answer. The run of the path
    /// is kept if a stream has started or the path is silent.
    async fn open(&mut self, found: FoundPath, why: &str) -> OpenResult {
        self.record
            .log_path_send(&found.path, found.oldest_entry_age, why);
        self.path_run = None;
        self.splitter = EventSplitter::default();
        let mut path_run = PathRun::new(
            self.router.clone(),
            self.spec.clone(),
            found,
            self.size,
            self.call.caller,
        );
        let call = self.call.clone();
        // Recorded before the request is sent, since this wait may be cancelled after it.
        let first = path_run.first_endpoint().clone();
        let is_new = !self.first_endpoints.contains(&first);
        if is_new {
            self.first_endpoints.push(first);
        }
        path_run.is_only_run_at_first = is_new;
        let opened = path_run.open(&call, self.last_id).await;
        self.record_opened(&opened, &path_run);
        if matches!(opened, OpenResult::Stream(..) | OpenResult::Silent(..)) {
            self.path_run = Some(path_run);
        }
        opened
    }

    /// Records how the attempt on a path began.
    fn record_opened(&mut self, opened: &OpenResult, path_run: &PathRun) {
        let first = path_run.first_endpoint();
        let failure = match opened {
            OpenResult::Stream(..) => {
                self.stall_detector.begin(Instant::now());
                return;
            }
            OpenResult::Complete(..) => return,
            OpenResult::NotRun
            | OpenResult::NotRunByPeer(_)
            | OpenResult::NotReached
            | OpenResult::Refused(..) => {
                if path_run.is_only_run_at_first {
                    self.first_endpoints.retain(|endpoint| endpoint != first);
                }
                if path_run.is_through_peer() {
                    self.avoided.push(first.clone());
                }
                match opened {
                    OpenResult::NotReached => "no connection",
                    _ => "not run",
                }
            }
            OpenResult::Lost(detail) => detail,
            OpenResult::Silent(detail) => {
                self.stall_detector.begin(Instant::now());
                detail
            }
            OpenResult::TooLong(detail) => {
                self.avoided.push(first.clone());
                detail
            }
        };
        self.record.log_attempt_failed(first, failure);
    }

    /// Returns the next events, or `None` at the end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, StreamAborted> {
        self.wait_for_reader().await?;
        loop {
            if let Some(events) = self.take_complete_events() {
                return Ok(Some(events));
            }
            self.wait_for_memory().await?;
            let (at_fault, why) = match self.wait().await {
                ReadResult::Data => continue,
                ReadResult::End(framing) => {
                    if let Some(path_run) = &self.path_run {
                        let first = path_run.first_endpoint();
                        record_end(&self.router, self.call.digest, first, framing);
                    }
                    self.record.end_answered(200);
                    return Ok(None);
                }
                ReadResult::TooLong(first, why) => {
                    self.avoided.push(first);
                    (None, why)
                }
                ReadResult::Lost(at_fault, why) => (at_fault, why),
            };
            self.path_run = None;
            if let Some((run, address)) = at_fault {
                check_run_for_crash(&self.router, self.call.digest, &run, address).await;
            }
            self.recover(&why).await?;
        }
    }

    /// Waits for data, and checks the path when the next event is overdue.
    async fn wait(&mut self) -> ReadResult {
        let Some(path_run) = &mut self.path_run else {
            return ReadResult::Lost(None, "there is no path".to_owned());
        };
        let Some(left) = self.call.time_left() else {
            return ReadResult::Lost(None, "the deadline has passed".to_owned());
        };
        let read_timeout = self
            .stall_detector
            .until_next_check(Instant::now())
            .min(left);
        match tokio::time::timeout(read_timeout, path_run.read(&self.call, &mut self.splitter))
            .await
        {
            Ok(result) => result,
            Err(_) => match path_run
                .check_pause(&self.call, &mut self.stall_detector)
                .await
            {
                PauseAction::Wait => ReadResult::Data,
                PauseAction::Leave(Some(lost), why) if self.repair(&lost, &why).await => {
                    ReadResult::Data
                }
                // A stream that may not restart gains nothing by leaving its path.
                PauseAction::Leave(..) if !self.may_repeat() => ReadResult::Data,
                PauseAction::Leave(_, why) => self.outlast_silence(&why).await,
            },
        }
    }

    fn give_up(&mut self, why: &str) -> Result<(), StreamAborted> {
        self.record.end_aborted(why);
        Err(StreamAborted)
    }
}
