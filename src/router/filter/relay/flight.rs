//! One run of a stream on one path.

mod look;
mod mend;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachioyard_platform::{AnswerHead, EventSplitter, OutboundRequest, decode_answer_head};
use pistachioyard_policy::{
    EndpointRegistry, Path, PipelineSpec, Repeatability, RequestSize, StallDetector, SuspectReason,
};

pub(super) use self::mend::Mended;
use super::Verdict;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_client::{Connection, Reuse};
use crate::router::filter::Call;
use crate::router::filter::plain::request;

/// The part of an endpoint's memory up to which a refusal can't be for want of it;
/// what this entry knows of the load lags a little.
const CLEARLY_FREE: f64 = 0.6;

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
        self.router.capacity_changed.notify_one();
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
            &OutboundRequest {
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
        let mut gaps = StallDetector::new(
            call.route.latency_target,
            call.route.gap_target,
            Instant::now(),
        );
        let sent = loop {
            let Some(left) = call.time_left() else {
                return (self, Opened::Lost("the time is over".to_owned()));
            };
            let patience = match may_repeat {
                true => gaps.until_next_check(Instant::now()).min(left),
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
                router.suspect(&first.endpoint, SuspectReason::NoAnswer);
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
            self.router.suspect(&endpoint, SuspectReason::RequestsStall);
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
        endpoints
            .by_address(address)
            .map(|record| record.endpoint.clone())
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
            (true, true) => endpoints.mark_unavailable(&at_fault),
            (true, false) => {
                drop(endpoints);
                self.router.suspect(&at_fault, SuspectReason::OtherLayers);
            }
            (false, _) => endpoints.note_refusal(&at_fault, used < room * CLEARLY_FREE, now),
        }
    }

    /// Returns the token-layers that fit at an endpoint of the path.
    fn room_of(&self, endpoints: &EndpointRegistry, endpoint: &EndpointId) -> f64 {
        let room = endpoints.get(endpoint).and_then(|record| {
            let state = &record.state;
            let spec = self.spec.as_ref()?;
            let card = spec.cards.get(state.card.as_ref()?)?;
            Some(spec.token_layer_capacity(card, state.layers?.len()))
        });
        room.unwrap_or_default()
    }

    /// Notes that the connection to the first endpoint broke, as in a crash.
    fn first_endpoint_lost(&self) {
        self.router.suspect(
            &self.path.stages[0].endpoint,
            SuspectReason::ConnectionBroke,
        );
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
        self.router.flow.lock().record(&self.path.stages, now);
    }

    fn passes(&self, endpoint: &EndpointId) -> bool {
        self.path
            .stages
            .iter()
            .any(|stage| stage.endpoint == *endpoint)
    }
}
