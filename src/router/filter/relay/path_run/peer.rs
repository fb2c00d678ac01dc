//! What differs where a peer serves the request in place of an endpoint.

use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use pistachioyard_platform::encode_answer_headers;

use super::{FirstRun, OpenResult, PathRun};
use crate::client::read_whole;
use crate::router::endpoint_client::MAX_ANSWER_BYTES;
use crate::router::filter::Call;
use crate::router::filter::crash_check::check_run_for_crash;
use crate::router::relay_hop::Arrival;

impl PathRun {
    /// Returns whether a peer serves the request in place of an endpoint.
    pub(in crate::router::filter::relay) fn is_through_peer(&self) -> bool {
        self.is_through_peer
    }

    /// Returns the run of the first endpoint; none if a peer serves the request.
    pub(super) fn first_run(&self) -> Option<FirstRun> {
        let address = self.path.stages[0].address;
        (!self.is_through_peer).then(|| (self.first_run.clone(), address))
    }

    /// Finds out whether the first endpoint has crashed under the request.
    pub(super) async fn check_for_crash(&mut self, call: &Call) {
        if let Some((run, address)) = self.first_run() {
            check_run_for_crash(&self.router, call.digest, &run, address).await;
        }
    }

    /// Reads the refusal of a peer that others would repeat.
    pub(super) async fn read_refusal(
        &mut self,
        call: &Call,
        status: StatusCode,
        headers: HeaderMap,
        body: Incoming,
    ) -> OpenResult {
        let to = self.path.stages[0].address;
        let reading = read_whole(to, body, MAX_ANSWER_BYTES, &self.router.client.memory);
        let time_left = call.time_left().unwrap_or_default();
        match tokio::time::timeout(time_left, reading).await {
            Ok(Ok(body)) => OpenResult::Refused(status, encode_answer_headers(&headers), body),
            Ok(Err(_)) | Err(_) => OpenResult::NotRunByPeer(Arrival::Possible),
        }
    }
}
