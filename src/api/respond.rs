//! Answers of the handlers.

use dropshot::{Body, HttpError};
use http::Response;
use serde::Serialize;

use crate::prelude::*;

/// What a handler returns; problems are answers as well.
pub(crate) type HandlerResult = Result<Response<Body>, HttpError>;

/// Answers with a value as JSON, or with a problem.
pub(crate) fn json<T: Serialize>(result: Result<T, Problem>) -> HandlerResult {
    match result {
        Ok(value) => {
            let body = serde_json::to_string(&value).expect("border types can be written as JSON");
            Ok(Response::builder()
                .header("content-type", "application/json")
                .body(body.into())?)
        }
        Err(problem) => problem_response(&problem),
    }
}

/// Answers with a problem as `application/problem+json`.
pub(crate) fn problem_response(problem: &Problem) -> HandlerResult {
    let body = serde_json::to_string(problem).expect("border types can be written as JSON");
    let mut builder = Response::builder()
        .status(problem.status)
        .header("content-type", "application/problem+json");
    if let Some(ms) = problem.retry_after_ms {
        builder = builder.header("retry-after", ms.div_ceil(1_000).to_string());
    }
    Ok(builder.body(body.into())?)
}
