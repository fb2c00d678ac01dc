//! Sends a request to one endpoint.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use pistachioyard_platform::{AnswerHead, OutboundRequest, decode_answer_head};
use pistachioyard_policy::EndpointRecord;

use super::endpoint_request;
use crate::client::read_whole;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::endpoint_answer::AnswerTo;
use crate::router::endpoint_client::{MAX_ANSWER_BYTES, Reuse};
use crate::router::filter::Call;
use crate::router::filter::crash_check::Framing;
use crate::router::filter::part_trial::PartTrial;
use crate::router::relay_hop::{Arrival, PeerHop};
use crate::router::{Router, relay_hop};

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(super) enum Target {
    /// An endpoint of the service.
    Endpoint(EndpointRecord),
    /// A peer that reaches endpoints which this entry does not reach.
    Peer(PeerHop),
}

impl Target {
    /// Returns the endpoint's id, or the peer's name.
    pub(super) fn name(&self) -> &EndpointId {
        match self {
            Self::Endpoint(record) => &record.endpoint,
            Self::Peer(hop) => &hop.name,
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::Endpoint(record) => record.address,
            Self::Peer(hop) => hop.address,
        }
    }
}

/// Says how one attempt ended.
pub(super) enum AttemptResult {
    /// An answer arrived that may be passed on.
    Answered(Box<AnswerHead>, HeaderMap, Bytes),
    /// The endpoint refused the request without running it.
    NotRun { is_full: bool },
    /// A peer refused the request without running it.
    NotRunByPeer(Arrival),
    /// A peer refused the request without running it, and so would others.
    Refused(Box<AnswerHead>, HeaderMap, Bytes),
    /// No connection was made, so nothing was sent.
    NotReached,
    /// This host lacks what a connection takes, so nothing was sent; holds the reason.
    Short(String),
    /// The request may have run, but its answer was lost.
    Lost(String),
    /// No answer arrived in the time given.
    TimedOut,
}

/// Counts a request as load of an endpoint until it is dropped, then records its latency.
struct LoadGuard<'a> {
    router: &'a Router,
    target: &'a Target,
    since: Instant,
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.router.load.lock().end_plain(self.target.name());
        let Target::Endpoint(record) = self.target else {
            return;
        };
        let now = Instant::now();
        let took = now.saturating_duration_since(self.since);
        self.router
            .plain_latency
            .lock()
            .record(&record.endpoint, took, now);
    }
}

/// Sends a request to an endpoint and waits for its complete answer until the deadline.
pub(super) async fn attempt(router: &Arc<Router>, call: &Call, target: &Target) -> AttemptResult {
    let Some(time_left) = call.time_left() else {
        return AttemptResult::TimedOut;
    };
    router.load.lock().begin_plain(target.name());
    let _load_guard = LoadGuard {
        router,
        target,
        since: Instant::now(),
    };
    let exchanging = async {
        match target {
            Target::Endpoint(record) => exchange(router, call, record, time_left).await,
            Target::Peer(_) => pass_on(router, call, target.address(), time_left).await,
        }
    };
    match tokio::time::timeout(time_left, exchanging).await {
        Ok(attempt) => attempt,
        Err(_) => AttemptResult::TimedOut,
    }
}

async fn exchange(
    router: &Arc<Router>,
    call: &Call,
    target: &EndpointRecord,
    time_left: Duration,
) -> AttemptResult {
    let send = OutboundRequest {
        endpoint: &target.endpoint,
        workspace: call.workspace.as_ref().map(|w| &w.name),
        time_left,
        path: &[],
        last_event_id: None,
        urgency: Some(call.urgency()),
    };
    let reuse = Reuse::of(call.route.repeatability);
    let req = endpoint_request(call, &send);
    let trial = PartTrial::new(router, &call.head.prompt_parts, &target.endpoint);
    let record_loss = || {
        if let Some(trial) = &trial {
            trial.record_loss();
        }
    };
    let (response, connection) = match router.client.send(target.address, req, reuse).await {
        Ok(answer) => answer,
        Err(CallError::NotSent { .. } | CallError::Refused { .. }) => {
            return AttemptResult::NotReached;
        }
        Err(e @ CallError::Shortage { .. }) => return AttemptResult::Short(e.to_string()),
        Err(e) => {
            if !matches!(e, CallError::TooLong { .. }) {
                record_loss();
            }
            return AttemptResult::Lost(e.to_string());
        }
    };
    let (parts, body) = response.into_parts();
    let head = decode_answer_head(parts.status, &parts.headers);
    if !head.may_answer(Some(&call.head.request_id)) {
        return AttemptResult::Lost("the answer belongs to another request".to_owned());
    }
    router.note_answer(&target.run(), &head, AnswerTo::Request);
    let body = match read_whole(
        target.address,
        body,
        MAX_ANSWER_BYTES,
        &router.client.memory,
    )
    .await
    {
        Ok(body) => body,
        Err(e) => {
            if !matches!(e, CallError::TooLong { .. }) {
                record_loss();
            }
            return AttemptResult::Lost(e.to_string());
        }
    };
    if !head.closes {
        router.client.keep(connection, head.idle_limit);
    }
    if head.is_not_run {
        return AttemptResult::NotRun {
            is_full: !head.is_other_endpoint,
        };
    }
    if head.status.is_success() && !head.is_signed {
        return AttemptResult::Lost("the answer lacks the endpoint's signature".to_owned());
    }
    if let (Some(trial), true) = (&trial, head.status.is_success()) {
        trial.record_end(Framing::of(&parts.headers));
    }
    AttemptResult::Answered(Box::new(head), parts.headers, body)
}

/// Passes a request on to a peer and waits for its complete answer.
async fn pass_on(
    router: &Router,
    call: &Call,
    to: SocketAddr,
    time_left: Duration,
) -> AttemptResult {
    let req = relay_hop::request(router, call, time_left, None);
    let reuse = Reuse::of(call.route.repeatability);
    let (response, connection) = match router.client.send(to, req, reuse).await {
        Ok(answer) => answer,
        Err(CallError::NotSent { .. } | CallError::Refused { .. }) => {
            return AttemptResult::NotReached;
        }
        Err(e @ CallError::Shortage { .. }) => return AttemptResult::Short(e.to_string()),
        Err(e) => return AttemptResult::Lost(e.to_string()),
    };
    let (mut parts, body) = response.into_parts();
    let arrival = router.take_relay_marks(&mut parts.headers);
    let head = decode_answer_head(parts.status, &parts.headers);
    if !head.may_answer(Some(&call.head.request_id)) {
        return AttemptResult::Lost("the answer belongs to another request".to_owned());
    }
    let body = match read_whole(to, body, MAX_ANSWER_BYTES, &router.client.memory).await {
        Ok(body) => body,
        Err(e) => return AttemptResult::Lost(e.to_string()),
    };
    if !head.closes {
        router.client.keep(connection, head.idle_limit);
    }
    match () {
        () if relay_hop::is_not_run(&head) && head.status == StatusCode::TOO_MANY_REQUESTS => {
            AttemptResult::Refused(Box::new(head), parts.headers, body)
        }
        () if relay_hop::is_not_run(&head) => AttemptResult::NotRunByPeer(arrival),
        () if head.is_signed => AttemptResult::Answered(Box::new(head), parts.headers, body),
        () => AttemptResult::Lost(format!("the peer answered with status {}", head.status)),
    }
}
