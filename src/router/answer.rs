//! Responses to callers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::prelude::*;

/// Signals that a stream ended before its last event; closes the caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the stream was aborted before its last event")]
pub(crate) struct StreamAborted;

/// Holds the body of a response.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, StreamAborted>;

/// Creates a body from content that is complete.
pub(crate) fn full_body(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response that has a status and no content.
pub(crate) fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(""));
    *answer.status_mut() = status;
    answer
}

/// Creates a response with the given content type and content.
pub(crate) fn text(content_type: &'static str, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(body));
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Creates the response to a request that was refused or failed.
pub(crate) fn problem(problem: &Problem) -> Response<AnswerBody> {
    let body = serde_json::to_vec(problem).expect("a problem can be encoded as JSON");
    let mut answer = text("application/problem+json", body);
    *answer.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(ms) = problem.retry_after_ms {
        let seconds = format!("{:.3}", ms as f64 / 1e3);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}
