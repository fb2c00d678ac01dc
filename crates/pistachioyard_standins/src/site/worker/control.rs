//! Lets tests observe a worker and change how it answers.

use ::http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde_json::{Value, json};

use super::{Worker, not_run};
use crate::site::http::{Body, json_response, status_only};

/// Carries out a command of a test.
pub(super) fn handle(worker: &Worker, command: &str, body: &Value) -> Response<Body> {
    let mut state = worker.state.lock();
    match command {
        "runs" => json_response(StatusCode::OK, &json!(state.runs)),
        "leaving" => {
            state.is_leaving = true;
            status_only(StatusCode::OK)
        }
        "pause" => {
            state.pause_s = body.as_f64().unwrap_or_default();
            status_only(StatusCode::OK)
        }
        "turned_away" => json_response(StatusCode::OK, &json!(state.turned_away)),
        _ => status_only(StatusCode::NOT_FOUND),
    }
}

/// Returns the refusal of a request if the worker turns requests away.
pub(super) fn turn_away(worker: &Worker, id: &str) -> Option<Response<Body>> {
    let mut state = worker.state.lock();
    if state.pause_s <= 0.0 {
        return None;
    }
    state.turned_away.push(id.to_owned());
    let mut refusal = not_run(StatusCode::SERVICE_UNAVAILABLE, worker.address());
    let retry_after = HeaderValue::from_str(&state.pause_s.to_string());
    refusal
        .headers_mut()
        .insert("retry-after", retry_after.ok()?);
    Some(refusal)
}

/// Adds the header that says that the worker leaves, if it does.
pub(super) fn mark_leaving(worker: &Worker, headers: &mut HeaderMap) {
    if worker.state.lock().is_leaving {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
}
