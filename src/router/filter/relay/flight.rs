//! One run of a stream on one path.

use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachioyard_platform::{
    AnswerHead, EventSplitter, OrderAnswer, PathOrder, Send, decode_answer_head,
    decode_conflict_address,
};
use pistachioyard_policy::{
    EndpointBook, GapMeter, Look, Path, PauseVerdict, PipelineSpec, Repeatability, RequestSize,
    Suspect,
};
use pistachioyard_wire::ServiceName;

use super::Verdict;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_client::{Connection, Reuse};
use crate::router::endpoint_order::post_order;
use crate::router::filter::Call;
use crate::router::filter::path::{self, Wanted};
use crate::router::filter::plain::request;
use crate::router::filter::report_cache::survey;

/// The part of an endpoint's memory up to which a refusal can't be for want of it;
/// what this entry knows of the load lags a little.
const CLEARLY_FREE: f64 = 0.6;

/// How long the first endpoint of a path may take to answer an order for another path; a
/// sound one answers in a few ms.
const MEND_TIMEOUT: Duration = Duration::from_millis(120);

/// How old what an endpoint said may be until a stream that pauses has it asked again;
/// each question is priced.
const SURVEY_SPAN: Duration = Duration::from_millis(900);

/// What sending a request along a path brought.
pub(super) enum Opened {
    /// Events follow.
    Stream(StatusCode, HeaderMap),
    /// Another answer, whole.
    Whole(StatusCode, HeaderMap, Bytes),
    /// An endpoint of the path says that it was not run.
    NotRun,
    /// The first endpoint could not be connected to.
    NotReached,
    /// It may have run and there is no answer.
    Lost(String),
}

/// What came next on a stream.
pub(super) enum Arrival {
    /// Bytes, or just the time to look again.
    Data,
    /// The whole end.
    End,
    /// The path is lost: the endpoint at fault, if one is known, and the reason.
    Lost(Option<EndpointId>, String),
}

/// What an order to go on along another path came to.
pub(super) enum Mended {
    /// The request goes on along this path.
    Along(Path),
    /// It does not, for this reason.
    Not(String),
}

/// Counts a request on its path until it is dropped.
pub(super) struct Flight {
    router: Arc<Router>,
    spec: Option<Arc<PipelineSpec>>,
    path: Path,
    size: RequestSize,
    answer: Option<(Incoming, Option<Connection>, Option<Duration>)>,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.router.load.lock().end(&self.path.stages, self.size);
        self.router.room.notify_one();
    }
}

impl Flight {
    pub(super) fn new(
        router: Arc<Router>,
        spec: Option<Arc<PipelineSpec>>,
        path: Path,
        size: RequestSize,
    ) -> Self {
        router.load.lock().begin(&path.stages, size);
        Self {
            router,
            spec,
            path,
            size,
            answer: None,
        }
    }

    /// Sends the request and waits for the head of the answer.
    ///
    /// An endpoint that is slow to begin is asked why, since an endpoint further
    /// along the path may be dead.
    pub(super) async fn open(mut self, call: &Call, last_id: Option<u64>) -> (Self, Opened) {
        let Some(time_left) = call.time_left() else {
            return (self, Opened::Lost("the time is over".to_owned()));
        };
        let first = self.path.stages[0].clone();
        let req = request(
            call,
            &Send {
                endpoint: &first.endpoint,
                workspace: call.workspace.as_ref().map(|w| &w.name),
                time_left,
                path: self.spec.as_ref().map_or(&[], |_| &self.path.stages),
                last_event_id: last_id,
                urgency: Some(call.urgency()),
            },
        );
        let router = self.router.clone();
        let may_repeat = call.route.repeatability != Repeatability::AtMostOnce;
        let reuse = if may_repeat {
            Reuse::Allowed
        } else {
            Reuse::Never
        };
        let sending = router.client.send(first.address, req, reuse);
        tokio::pin!(sending);
        let mut gaps = GapMeter::new(
            call.route.latency_target,
            call.route.gap_target,
            Instant::now(),
        );
        let sent = loop {
            let Some(left) = call.time_left() else {
                return (self, Opened::Lost("the time is over".to_owned()));
            };
            let patience = match may_repeat {
                true => gaps.patience(Instant::now()).min(left),
                false => left,
            };
            match tokio::time::timeout(patience, &mut sending).await {
                Ok(sent) => break sent,
                Err(_) if !may_repeat => {
                    return (self, Opened::Lost("the time is over".to_owned()));
                }
                Err(_) => match self.look_into(call, &mut gaps).await {
                    Verdict::Wait => {}
                    Verdict::Leave(_, why) => return (self, Opened::Lost(why)),
                },
            }
        };
        let opened = match sent {
            Ok((response, connection)) => self.classify(call, response, connection).await,
            Err(CallError::NotSent { .. }) => {
                router.suspect(&first.endpoint, Suspect::NoAnswer);
                Opened::NotReached
            }
            Err(e) => {
                self.first_endpoint_lost();
                Opened::Lost(e.to_string())
            }
        };
        (self, opened)
    }

    async fn classify(
        &mut self,
        call: &Call,
        response: http::Response<Incoming>,
        connection: Connection,
    ) -> Opened {
        let (parts, body) = response.into_parts();
        let head = decode_answer_head(parts.status, &parts.headers);
        if head.request_id.is_some() && head.request_id.as_ref() != Some(&call.head.request_id) {
            return Opened::Lost("the answer belongs to another request".to_owned());
        }
        if head.is_not_run {
            self.note_refusal(&head);
            return Opened::NotRun;
        }
        if head.status.is_success() && !head.is_signed {
            return Opened::Lost("the endpoint does not vouch for its answer".to_owned());
        }
        if head.status.is_success() {
            let kept = (!head.closes).then_some(connection);
            self.answer = Some((body, kept, head.idle_limit));
            return Opened::Stream(parts.status, parts.headers);
        }
        if let Some(endpoint) = head.at_fault.and_then(|at| self.endpoint_at(at)) {
            self.router.suspect(&endpoint, Suspect::RequestsStall);
        }
        match body.collect().await {
            Ok(body) if head.is_signed => {
                Opened::Whole(parts.status, parts.headers, body.to_bytes())
            }
            Ok(_) => Opened::Lost(format!("the endpoint answered with status {}", head.status)),
            Err(_) => Opened::Lost("the answer broke off".to_owned()),
        }
    }

    fn endpoint_at(&self, address: std::net::SocketAddr) -> Option<EndpointId> {
        let endpoints = self.router.endpoints.lock();
        endpoints.at(address).map(|record| record.endpoint.clone())
    }

    /// Leaves out the endpoint that refused; the first one if none is named.
    fn note_refusal(&self, head: &AnswerHead) {
        let named = head.at_fault.and_then(|at| self.endpoint_at(at));
        let first = &self.path.stages[0].endpoint;
        let at_fault = named.unwrap_or_else(|| first.clone());
        let now = Instant::now();
        let mut endpoints = self.router.endpoints.lock();
        let load = self.router.load.lock();
        let used = load.token_layers(&at_fault);
        let room = self.room_of(&endpoints, &at_fault);
        spdlog::info!("endpoints: refused", kv: {
            endpoint = at_fault.as_str(), status = head.status.as_u16(),
            requests_there = load.requests(&at_fault), token_layers_there = used as u64,
            token_layers_room = room as u64
        });
        drop(load);
        match (head.is_other_endpoint, at_fault == *first) {
            (true, true) => endpoints.note_refusing(&at_fault),
            (true, false) => {
                drop(endpoints);
                self.router.suspect(&at_fault, Suspect::OtherLayers);
            }
            (false, _) => endpoints.note_refusal(&at_fault, used < room * CLEARLY_FREE, now),
        }
    }

    /// Returns the token-layers that fit at an endpoint of the path.
    fn room_of(&self, endpoints: &EndpointBook, endpoint: &EndpointId) -> f64 {
        let room = endpoints.get(endpoint).and_then(|record| {
            let state = &record.state;
            let spec = self.spec.as_ref()?;
            let card = spec.cards.get(state.card.as_ref()?)?;
            Some(spec.token_layers_beside(card, state.layers?.len()))
        });
        room.unwrap_or_default()
    }

    /// Notes that the connection to the first endpoint broke, as in a crash.
    fn first_endpoint_lost(&self) {
        self.router
            .suspect(&self.path.stages[0].endpoint, Suspect::ConnectionBroke);
    }

    /// Reads what comes next into the splitter.
    pub(super) async fn read(&mut self, splitter: &mut EventSplitter) -> Arrival {
        let Some((body, ..)) = &mut self.answer else {
            return Arrival::Lost(None, "there is no answer to read".to_owned());
        };
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    splitter.push(data);
                }
                Arrival::Data
            }
            Some(Err(_)) => {
                self.first_endpoint_lost();
                let first = self.path.stages[0].endpoint.clone();
                Arrival::Lost(Some(first), "the connection broke".to_owned())
            }
            None => {
                self.keep_connection();
                Arrival::End
            }
        }
    }

    fn keep_connection(&mut self) {
        if let Some((_, Some(connection), idle_limit)) = self.answer.take() {
            self.router.client.keep(connection, idle_limit);
        }
    }

    /// Notes that an event came through all stages.
    pub(super) fn note_flow(&self, now: Instant) {
        self.router.flow.lock().note(&self.path.stages, now);
    }

    /// Finds out why nothing comes.
    pub(super) async fn look_into(&self, call: &Call, gaps: &mut GapMeter) -> Verdict {
        let look = gaps.begin_look(Instant::now());
        if let Some(dead) = self.dead_endpoint(gaps.silent_since()).await {
            let why = format!("{dead} is dead");
            return Verdict::Leave(Some(dead), why);
        }
        match look {
            Look::Glance => Verdict::Wait,
            Look::Report => self.ask_first(call, gaps).await,
        }
    }

    /// Asks the endpoints through which nothing has come lately whether they live.
    async fn dead_endpoint(&self, silent_since: Instant) -> Option<EndpointId> {
        let now = Instant::now();
        let stages = &self.path.stages;
        if let Some(silent) = self.silent_endpoints().into_iter().next() {
            return Some(silent);
        }
        let doubted = {
            let flow = self.router.flow.lock();
            flow.doubted(stages, silent_since, now)
        };
        let asked = doubted.into_iter().map(|stage| async move {
            let (reports, client) = (&self.router.reports, &self.router.client);
            let is_alive = reports.is_alive(client, stage.address).await;
            (!is_alive).then_some(stage.endpoint)
        });
        let dead = join_all(asked).await.into_iter().flatten().next()?;
        self.router.suspect(&dead, Suspect::NoAnswer);
        Some(dead)
    }

    /// Has the path go on without a lost endpoint, while all others keep what they have
    /// read; tells whether the first endpoint took the order.
    pub(super) async fn mend(
        &mut self,
        call: &Call,
        service: &ServiceName,
        lost: &EndpointId,
    ) -> Mended {
        let mut without = self.silent_endpoints();
        if !without.contains(lost) {
            without.push(lost.clone());
        }
        self.mend_without(call, service, &without).await
    }

    /// Lists the endpoints of the path that failed and have not answered since.
    fn silent_endpoints(&self) -> Vec<EndpointId> {
        let now = Instant::now();
        let endpoints = self.router.endpoints.lock();
        let silent = self.path.stages.iter().map(|stage| &stage.endpoint);
        silent
            .filter(|endpoint| endpoints.is_silent(endpoint, now))
            .cloned()
            .collect()
    }

    async fn mend_without(
        &mut self,
        call: &Call,
        service: &ServiceName,
        without: &[EndpointId],
    ) -> Mended {
        let Some(spec) = self.spec.clone() else {
            return Mended::Not("the endpoint serves alone".to_owned());
        };
        let wanted = Wanted {
            service,
            spec: Some(&spec),
            size: self.size,
            first: None,
        };
        let path = match path::mend(&self.router, &wanted, &spec, &self.path, without) {
            Ok(path) => path,
            Err(e) => return Mended::Not(e.to_string()),
        };
        let order = PathOrder {
            request_id: &call.head.request_id,
            path: &path.stages,
        };
        let first = path.stages[0].address;
        // Counted before the answer, so that others see at once what is taken.
        self.router.load.lock().begin(&path.stages, self.size);
        let answer = post_order(&self.router.client, first, &order.encode(), MEND_TIMEOUT).await;
        let (over, refused) = match answer {
            Ok((OrderAnswer::Begun | OrderAnswer::Holds, _)) => {
                (std::mem::replace(&mut self.path, path), None)
            }
            Ok((answer, body)) => {
                self.note_conflict(&body);
                (path, Some(format!("{answer:?}")))
            }
            Err(e) => (path, Some(e.to_string())),
        };
        self.router.load.lock().end(&over.stages, self.size);
        match refused {
            None => Mended::Along(self.path.clone()),
            Some(why) => Mended::Not(why),
        }
    }

    /// Has an endpoint asked that could not take part in a path.
    fn note_conflict(&self, body: &[u8]) {
        let at_fault = decode_conflict_address(body).and_then(|at| self.endpoint_at(at));
        if let Some(endpoint) = at_fault {
            self.router.suspect(&endpoint, Suspect::OtherLayers);
        }
    }

    /// Asks the first endpoint why nothing comes.
    async fn ask_first(&self, call: &Call, gaps: &mut GapMeter) -> Verdict {
        if self.spec.is_none() {
            return next_look(gaps);
        }
        let first = &self.path.stages[0];
        let report = self
            .router
            .reports
            .get(&self.router.client, first.address)
            .await;
        let Some(report) = report else {
            self.router.suspect(&first.endpoint, Suspect::NoAnswer);
            let why = "the first endpoint does not answer".to_owned();
            return Verdict::Leave(Some(first.endpoint.clone()), why);
        };
        let mut stalled_at = None;
        for (request_id, address) in &report.stalled {
            let Some(endpoint) = self.endpoint_at(*address) else {
                continue;
            };
            self.router.suspect(&endpoint, Suspect::RequestsStall);
            if *request_id == call.head.request_id || self.passes(&endpoint) {
                stalled_at = Some(endpoint);
            }
        }
        match stalled_at {
            Some(endpoint) => {
                let why = format!("{endpoint} does not answer");
                Verdict::Leave(Some(endpoint), why)
            }
            None => {
                let verdict = next_look(gaps);
                if matches!(verdict, Verdict::Wait) {
                    self.survey();
                }
                verdict
            }
        }
    }

    /// Has the endpoints of the path asked how fast they run, since one that is slow
    /// holds up all the others.
    fn survey(&self) {
        let now = Instant::now();
        let unheard = {
            let endpoints = self.router.endpoints.lock();
            let path = self.path.stages.iter().map(|stage| &stage.endpoint);
            endpoints.unheard(path, SURVEY_SPAN, now)
        };
        if !unheard.is_empty() {
            tokio::spawn(survey(self.router.clone(), unheard));
        }
    }

    fn passes(&self, endpoint: &EndpointId) -> bool {
        self.path
            .stages
            .iter()
            .any(|stage| stage.endpoint == *endpoint)
    }
}

/// Decides after a look that found nothing.
fn next_look(gaps: &mut GapMeter) -> Verdict {
    match gaps.next_look(Instant::now()) {
        PauseVerdict::Wait => Verdict::Wait,
        PauseVerdict::Leave => Verdict::Leave(None, "nothing came for too long".to_owned()),
    }
}
