//! Has a stream go on without the endpoints that its path has lost.

use pistachioyard_platform::{OrderAnswer, PathOrder, decode_conflict_address};
use pistachioyard_policy::{Path, RequestSize, SuspectReason};
use pistachioyard_wire::ServiceName;

use super::Flight;
use crate::prelude::*;
use crate::router::Router;
use crate::router::endpoint_order::post_order;
use crate::router::filter::Call;
use crate::router::filter::path::{self, Wanted};

/// How long the first endpoint of a path may take to answer an order for another path; a
/// sound one answers in a few ms.
const MEND_TIMEOUT: Duration = Duration::from_millis(120);

/// What an order to go on along another path came to.
pub(in crate::router::filter::relay) enum Mended {
    /// The request goes on along this path.
    Along(Path),
    /// It does not, for this reason.
    Not(String),
}

/// Counts a request on a path until it is dropped, also when its caller leaves while the
/// order is under way.
struct Reserved {
    router: Arc<Router>,
    path: Path,
    size: RequestSize,
}

impl Reserved {
    fn new(router: Arc<Router>, path: Path, size: RequestSize) -> Self {
        router.load.lock().begin(&path.stages, size);
        Self { router, path, size }
    }
}

impl Drop for Reserved {
    fn drop(&mut self) {
        self.router.load.lock().end(&self.path.stages, self.size);
    }
}

impl Flight {
    /// Has the path go on without a lost endpoint, while all others keep what they have
    /// read; tells whether the first endpoint took the order.
    pub(in crate::router::filter::relay) async fn mend(
        &mut self,
        call: &Call,
        service: &ServiceName,
        lost: &EndpointId,
    ) -> Mended {
        let mut without = self.silent_endpoints();
        if !without.contains(lost) {
            without.push(lost.clone());
        }
        self.mend_without(call, service, &without).await
    }

    /// Lists the endpoints of the path that failed and have not answered since.
    pub(super) fn silent_endpoints(&self) -> Vec<EndpointId> {
        let now = Instant::now();
        let endpoints = self.router.endpoints.lock();
        let silent = self.path.stages.iter().map(|stage| &stage.endpoint);
        silent
            .filter(|endpoint| endpoints.is_unresponsive(endpoint, now))
            .cloned()
            .collect()
    }

    async fn mend_without(
        &mut self,
        call: &Call,
        service: &ServiceName,
        without: &[EndpointId],
    ) -> Mended {
        let Some(spec) = self.spec.clone() else {
            return Mended::Not("the endpoint serves alone".to_owned());
        };
        let wanted = Wanted {
            service,
            spec: Some(&spec),
            size: self.size,
            first: None,
        };
        let path = match path::mend(&self.router, &wanted, &spec, &self.path, without) {
            Ok(path) => path,
            Err(e) => return Mended::Not(e.to_string()),
        };
        let order = PathOrder {
            request_id: &call.head.request_id,
            path: &path.stages,
        };
        let first = path.stages[0].address;
        let order = order.encode();
        // Counted before the answer, so that others see at once what is taken.
        let mut reserved = Reserved::new(self.router.clone(), path, self.size);
        let answer = post_order(&self.router.client, first, &order, MEND_TIMEOUT).await;
        match answer {
            Ok((OrderAnswer::Begun | OrderAnswer::Holds, _)) => {
                std::mem::swap(&mut self.path, &mut reserved.path);
                Mended::Along(self.path.clone())
            }
            Ok((answer, body)) => {
                self.note_conflict(&body);
                Mended::Not(format!("{answer:?}"))
            }
            Err(e) => Mended::Not(e.to_string()),
        }
    }

    /// Has an endpoint asked that could not take part in a path.
    fn note_conflict(&self, body: &[u8]) {
        let at_fault = decode_conflict_address(body).and_then(|at| self.endpoint_at(at));
        if let Some(endpoint) = at_fault {
            self.router.suspect(&endpoint, SuspectReason::OtherLayers);
        }
    }
}
