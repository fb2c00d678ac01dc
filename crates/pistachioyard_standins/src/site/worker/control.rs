//! Lets tests observe a worker and change how it answers.
//!
//! `GET /control/runs` lists the ids of the requests started, `GET /control/turned_away` those of
//! the requests turned away, and `GET /control/fence` returns the highest fencing token of an
//! order. `PUT /control/leaving` makes all later answers say that the worker leaves, while its
//! object in the store stays `ready`, `PUT /control/draining` makes that `draining`, and `PUT
//! /control/unlisted` ends the writes of it; `PUT /control/pause` with a number of seconds makes it turn
//! all requests away with that `Retry-After`, until it gets 0; `PUT /control/blame` with an
//! address makes these refusals blame that one. `PUT /control/silence` with a number of
//! milliseconds makes it fall silent for that time: it accepts no connection and answers nothing,
//! keeps its connections and then goes on. `GET /control/paths` lists the addresses of the stages
//! of each running stream. `PUT /control/limit` with a list of texts makes all later answers name
//! each of them as the limit of requests, and `GET /control/arrivals` lists the Unix times at
//! which requests have arrived, in milliseconds, with the hosts that they name; after `PUT /control/crash`, the next running stream that passes through
//! the worker ends the process.

use std::net::SocketAddr;
use std::time::Duration;

use ::http::{HeaderMap, HeaderValue, Response, StatusCode};
use serde_json::{Value, json};

use super::{State, Worker, not_run, silence};
use crate::site::http::{Body, json_response, status_only};

/// Carries out a command of a test.
pub(super) fn handle(worker: &Worker, command: &str, body: &Value) -> Response<Body> {
    let mut state = worker.state.lock();
    match command {
        "fence" => json_response(StatusCode::OK, &json!(state.fence)),
        "runs" => json_response(StatusCode::OK, &json!(state.runs)),
        "silence" => {
            let duration = Duration::from_millis(body.as_u64().unwrap_or_default());
            tokio::spawn(silence::fall_silent(worker.args.listen, duration));
            status_only(StatusCode::ACCEPTED)
        }
        "paths" => json_response(StatusCode::OK, &running_paths(&state)),
        "crash" => {
            state.crashes_in_stream = true;
            status_only(StatusCode::OK)
        }
        "leaving" => {
            state.is_leaving = true;
            status_only(StatusCode::OK)
        }
        "draining" => {
            state.is_draining = true;
            status_only(StatusCode::OK)
        }
        "unlisted" => {
            state.is_unlisted = true;
            status_only(StatusCode::OK)
        }
        "pause" => {
            state.pause_s = body.as_f64().unwrap_or_default();
            status_only(StatusCode::OK)
        }
        "blame" => {
            state.blamed = body.as_str().and_then(|address| address.parse().ok());
            status_only(StatusCode::OK)
        }
        "limit" => {
            let named = body.as_array().into_iter().flatten();
            let named = named.filter_map(|value| value.as_str().map(str::to_owned));
            state.limits = named.collect();
            status_only(StatusCode::OK)
        }
        "arrivals" => json_response(StatusCode::OK, &json!(state.arrivals)),
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
    let at_fault = state.blamed.unwrap_or_else(|| worker.address());
    let mut refusal = not_run(StatusCode::SERVICE_UNAVAILABLE, at_fault);
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

/// Adds the headers that name a limit of requests, if there are any.
pub(super) fn name_limits(worker: &Worker, headers: &mut HeaderMap) {
    for limit in &worker.state.lock().limits {
        if let Ok(value) = HeaderValue::from_str(limit) {
            headers.append("server-limit", value);
        }
    }
}

/// Returns the addresses of the stages of each running stream, by request id.
fn running_paths(state: &State) -> Value {
    let paths = state.paths.iter().map(|(id, stages)| {
        let addresses: Vec<SocketAddr> = stages.iter().map(|(at, ..)| *at).collect();
        (id.clone(), json!(addresses))
    });
    Value::Object(paths.collect())
}
