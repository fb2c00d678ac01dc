//! Has a stream go on without the endpoints that its path has lost.

use pistachioyard_platform::{OrderAnswer, PathOrder, decode_conflict_address};
use pistachioyard_policy::{Path, Suspect};
use pistachioyard_wire::ServiceName;

use super::Flight;
use crate::prelude::*;
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
            .filter(|endpoint| endpoints.is_silent(endpoint, now))
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
        // Counted before the answer, so that others see at once what is taken.
        self.router.load.lock().begin(&path.stages, self.size);
        let answer = post_order(&self.router.client, first, &order.encode(), MEND_TIMEOUT).await;
        let (over, refused) = match answer {
            Ok((OrderAnswer::Begun | OrderAnswer::Holds, _)) => {
                (std::mem::replace(&mut self.path, path), None)
            }
            Ok((answer, body)) => {
                self.note_conflict(&body);
                (path, Some(format!("{answer:?}")))
            }
            Err(e) => (path, Some(e.to_string())),
        };
        self.router.load.lock().end(&over.stages, self.size);
        match refused {
            None => Mended::Along(self.path.clone()),
            Some(why) => Mended::Not(why),
        }
    }

    /// Has an endpoint asked that could not take part in a path.
    fn note_conflict(&self, body: &[u8]) {
        let at_fault = decode_conflict_address(body).and_then(|at| self.endpoint_at(at));
        if let Some(endpoint) = at_fault {
            self.router.suspect(&endpoint, Suspect::OtherLayers);
        }
    }
}
