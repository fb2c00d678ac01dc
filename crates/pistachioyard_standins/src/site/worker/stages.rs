//! The stages of a request's path.

use std::net::SocketAddr;

use ::http::{Method, StatusCode};
use hyper::body::Bytes;

use super::Worker;

/// The stages of a path: the address, first layer and end layer (exclusive) of each.
pub(super) type Stages = Vec<(SocketAddr, u64, u64)>;

pub(super) fn parse_path(path: &str) -> Stages {
    let stages = path.split(',').filter_map(|stage| {
        let (address, range) = stage.split_once('=')?;
        let (from, to) = parse_range(range)?;
        Some((address.parse().ok()?, from, to))
    });
    stages.collect()
}

/// Checks that each stage holds its layers.
///
/// The error names the first stage that does not, or is `None` if the layers are not in order.
pub(super) async fn check_path(
    worker: &Worker,
    path: &[(SocketAddr, u64, u64)],
) -> Result<(), Option<(StatusCode, SocketAddr)>> {
    let mut next = 0;
    for (at, from, to) in path {
        if *from != next {
            return Err(None);
        }
        next = *to;
        if *at == worker.address() && worker.holds((*from, *to)) {
            continue;
        }
        let target = format!("/holds?{from}-{to}");
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

pub(super) fn parse_range(range: &str) -> Option<(u64, u64)> {
    let (from, to) = range.split_once('-')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}
