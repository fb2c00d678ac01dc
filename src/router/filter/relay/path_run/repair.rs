//! Repairs the path of a running stream by replacing lost endpoints.

use pistachioyard_platform::{OrderAnswer, PathOrder, decode_conflict_address};
use pistachioyard_policy::{Path, RequestSize, SuspectReason};
use pistachioyard_wire::ServiceName;

use super::PathRun;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_order::post_order;
use crate::router::filter::Call;
use crate::router::filter::path::{self, PathRequest};

/// How long the first endpoint of a path may take to answer an order to change it; a healthy
/// one answers within a few ms.
const REPAIR_TIMEOUT: Duration = Duration::from_millis(120);

/// Says whether a path was repaired.
pub(in crate::router::filter::relay) enum RepairResult {
    /// The request continues on this path.
    Repaired(Path),
    /// The path was not repaired, for this reason.
    Failed(String),
}

/// Counts a request as load of a path until it is dropped, even if the caller disconnects
/// while the order is in progress.
struct Reservation {
    router: Arc<Router>,
    path: Path,
    size: RequestSize,
}

impl Reservation {
    fn new(router: Arc<Router>, path: Path, size: RequestSize) -> Self {
        router.load.lock().begin(&path.stages, size);
        Self { router, path, size }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.router.load.lock().end(&self.path.stages, self.size);
    }
}

impl PathRun {
    /// Replaces a lost endpoint of the path, while all others keep their KV cache; returns
    /// whether the first endpoint accepted the order.
    pub(in crate::router::filter::relay) async fn repair(
        &mut self,
        call: &Call,
        service: &ServiceName,
        lost: &EndpointId,
    ) -> RepairResult {
        let mut without = self.silent_endpoints();
        if !without.contains(lost) {
            without.push(lost.clone());
        }
        self.repair_without(call, service, &without).await
    }

    /// Returns the endpoints of the path that failed and have not answered since.
    pub(super) fn silent_endpoints(&self) -> Vec<EndpointId> {
        let now = Instant::now();
        let endpoints = self.router.endpoints.lock();
        let stages = self.path.stages.iter().map(|stage| &stage.endpoint);
        stages
            .filter(|endpoint| endpoints.is_unresponsive(endpoint, now))
            .cloned()
            .collect()
    }

    async fn repair_without(
        &mut self,
        call: &Call,
        service: &ServiceName,
        without: &[EndpointId],
    ) -> RepairResult {
        let Some(spec) = self.spec.clone() else {
            return RepairResult::Failed("a plain service has no path to repair".to_owned());
        };
        let request = PathRequest {
            service,
            spec: Some(&spec),
            size: self.size,
            first: None,
            without: &[],
            first_event: None,
            contender: None,
        };
        let path = match path::repair(&self.router, &request, &spec, &self.path, without) {
            Ok(path) => path,
            Err(e) => return RepairResult::Failed(e.to_string()),
        };
        let order = PathOrder {
            request_id: &call.head.request_id,
            path: &path.stages,
        };
        let first = path.stages[0].clone();
        let order = order.encode();
        // Counted before the answer arrives, so that other requests see the new load at once.
        let mut reservation = Reservation::new(self.router.clone(), path, self.size);
        let answer = post_order(
            &self.router,
            &first.endpoint,
            first.address,
            &order,
            REPAIR_TIMEOUT,
        )
        .await;
        match answer {
            Ok((OrderAnswer::Begun | OrderAnswer::Holds, _)) => {
                // The reservation now holds the old path and releases it when it is dropped.
                self.end_reading();
                std::mem::swap(&mut self.path, &mut reservation.path);
                RepairResult::Repaired(self.path.clone())
            }
            Ok((answer, body)) => {
                self.note_conflict(&body);
                RepairResult::Failed(format!("{answer:?}"))
            }
            Err(e) => RepairResult::Failed(e.to_string()),
        }
    }

    /// Marks the endpoint that could not join the path as suspect, so that it is probed.
    fn note_conflict(&self, body: &[u8]) {
        let at_fault = decode_conflict_address(body).and_then(|at| self.endpoint_at(at));
        if let Some(endpoint) = at_fault {
            self.router.suspect(&endpoint, SuspectReason::OtherLayers);
        }
    }
}
