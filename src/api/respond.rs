//! Builds the responses of the handlers.

use dropshot::{Body, HttpError};
use http::Response;
use serde::Serialize;

use crate::prelude::*;

/// The result of a handler. A problem is also an `Ok` response.
pub(crate) type HandlerResult = Result<Response<Body>, HttpError>;

/// Builds a JSON response from a value, or a problem response.
pub(crate) fn json<T: Serialize>(result: Result<T, Problem>) -> HandlerResult {
    match result {
        Ok(value) => {
            let body = serde_json::to_string(&value).expect("wire types serialize to JSON");
            Ok(Response::builder()
                .header("content-type", "application/json")
                .body(body.into())?)
        }
        Err(problem) => problem_response(&problem),
    }
}

/// Builds an `application/problem+json` response.
pub(crate) fn problem_response(problem: &Problem) -> HandlerResult {
    let body = serde_json::to_string(problem).expect("wire types serialize to JSON");
    let mut builder = Response::builder()
        .status(problem.status)
        .header("content-type", "application/problem+json");
    if let Some(ms) = problem.retry_after_ms {
        builder = builder.header("retry-after", ms.div_ceil(1_000).to_string());
    }
    Ok(builder.body(body.into())?)
}
