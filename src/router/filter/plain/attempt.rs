//! Sends a request to one endpoint.

use bytes::Bytes;
use http::HeaderMap;
use pistachioyard_platform::{AnswerHead, OutboundRequest, decode_answer_head};
use pistachioyard_policy::{EndpointRecord, Repeatability};

use super::endpoint_request;
use crate::client::read_whole;
use crate::error::CallError;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_answer::AnswerTo;
use crate::router::endpoint_client::{MAX_ANSWER_BYTES, Reuse};
use crate::router::filter::Call;
use crate::router::filter::crash_check::Framing;
use crate::router::filter::part_trial::PartTrial;

/// Says how one attempt ended.
pub(super) enum AttemptResult {
    /// An answer arrived that may be passed on.
    Answered(Box<AnswerHead>, HeaderMap, Bytes),
    /// The endpoint refused the request without running it.
    NotRun { is_full: bool },
    /// No connection was made, so nothing was sent.
    NotReached,
    /// The request may have run, but its answer was lost.
    Lost(String),
    /// No answer arrived in the time given.
    TimedOut,
}

/// Counts a request as load of an endpoint until it is dropped, then records its latency.
struct LoadGuard<'a> {
    router: &'a Router,
    endpoint: &'a EndpointId,
    since: Instant,
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.router.load.lock().end_plain(self.endpoint);
        let now = Instant::now();
        let took = now.saturating_duration_since(self.since);
        self.router
            .plain_latency
            .lock()
            .record(self.endpoint, took, now);
    }
}

/// Sends a request to an endpoint and waits for its complete answer until the deadline.
pub(super) async fn attempt(
    router: &Arc<Router>,
    call: &Call,
    target: &EndpointRecord,
) -> AttemptResult {
    let Some(time_left) = call.time_left() else {
        return AttemptResult::TimedOut;
    };
    router.load.lock().begin_plain(&target.endpoint);
    let _load_guard = LoadGuard {
        router,
        endpoint: &target.endpoint,
        since: Instant::now(),
    };
    match tokio::time::timeout(time_left, exchange(router, call, target, time_left)).await {
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
    let reuse = match call.route.repeatability {
        Repeatability::AtMostOnce => Reuse::Never,
        Repeatability::Idempotent | Repeatability::Resumable => Reuse::Allowed,
    };
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
    let body = match read_whole(target.address, body, MAX_ANSWER_BYTES).await {
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
