//! Answers to callers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

use crate::prelude::*;

/// Why a stream ended before its end; the caller's connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the stream was broken off")]
pub(crate) struct BrokenOff;

/// The body of an answer.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Makes a body that is known whole.
pub(crate) fn whole(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes an answer of a status alone.
pub(crate) fn status(status: StatusCode) -> Response<AnswerBody> {
    let mut answer = Response::new(whole(""));
    *answer.status_mut() = status;
    answer
}

/// Makes an answer of text.
pub(crate) fn text(content_type: &'static str, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(whole(body));
    answer
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Tells a caller that its request was refused or failed.
pub(crate) fn problem(problem: &Problem) -> Response<AnswerBody> {
    let body = serde_json::to_vec(problem).expect("border types can be written as JSON");
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
