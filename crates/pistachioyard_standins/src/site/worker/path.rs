//! The paths of streams, and the calls by which a worker checks the stages of one.

use std::net::SocketAddr;

use ::http::{Method, Response, StatusCode};
use hyper::body::Bytes;

use super::Worker;
use crate::site::http::{Body, status_only};

/// The path at which a worker is asked, before a stream starts, whether it holds layers.
pub(super) const HOLDS_PATH: &str = "/holds";
/// The path at which a worker is asked the same by a stream that runs.
pub(super) const PASS_PATH: &str = "/pass";

/// The stages of a path: the address, first layer and end layer (exclusive) of each.
pub(super) type Stages = Vec<(SocketAddr, u64, u64)>;

/// Answers whether the worker holds the layer range given as `FROM-TO`.
pub(super) fn holds(worker: &Worker, range: &str) -> Response<Body> {
    let held = worker.state.lock().layers;
    let requested = parse_range(range);
    let is_held = match (held, requested) {
        (Some((from, to)), Some((first, end))) => from <= first && end <= to,
        _ => false,
    };
    status_only(if is_held {
        StatusCode::OK
    } else {
        StatusCode::MISDIRECTED_REQUEST
    })
}

fn parse_range(range: &str) -> Option<(u64, u64)> {
    let (from, to) = range.split_once('-')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}

pub(super) fn parse_path(path: &str) -> Stages {
    let stages = path.split(',').filter_map(|stage| {
        let (address, range) = stage.split_once('=')?;
        let (from, to) = parse_range(range)?;
        Some((address.parse().ok()?, from, to))
    });
    stages.collect()
}

/// Asks each stage, by calls to `call`, whether it holds its layers.
///
/// The error names the first stage that does not, or is `None` if the layers are not in order.
pub(super) async fn check_path(
    worker: &Worker,
    path: &[(SocketAddr, u64, u64)],
    call: &str,
) -> Result<(), Option<(StatusCode, SocketAddr)>> {
    let mut next = 0;
    for (at, from, to) in path {
        if *from != next {
            return Err(None);
        }
        next = *to;
        let target = format!("{call}?{from}-{to}");
        let sent = worker
            .client
            .send(Method::GET, *at, &target, &[], Bytes::new());
        match sent.await {
            Ok(answer) if answer.status == StatusCode::OK => {}
            Ok(answer) => return Err(Some((answer.status, *at))),
            Err(_) => return Err(Some((StatusCode::SERVICE_UNAVAILABLE, *at))),
        }
    }
    Ok(())
}
