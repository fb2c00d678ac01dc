//! Lets tests observe a worker and change how it answers.

use ::http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde_json::json;

use super::Worker;
use crate::site::http::{Body, json_response, status_only};

/// Carries out a command of a test.
pub(super) fn handle(worker: &Worker, command: &str) -> Response<Body> {
    let mut state = worker.state.lock();
    match command {
        "runs" => json_response(StatusCode::OK, &json!(state.runs)),
        "leaving" => {
            state.is_leaving = true;
            status_only(StatusCode::OK)
        }
        _ => status_only(StatusCode::NOT_FOUND),
    }
}

/// Adds the header that says that the worker leaves, if it does.
pub(super) fn mark_leaving(worker: &Worker, headers: &mut HeaderMap) {
    if worker.state.lock().is_leaving {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
}
