//! Applies what the heads of endpoints' answers say of the endpoints themselves.

use pistachioyard_platform::AnswerHead;
use pistachioyard_policy::EndpointRun;

use crate::prelude::*;
use crate::router::Router;

impl Router {
    /// Applies the head of an answer to a request, an order or a call for the report.
    ///
    /// `run` is the run to which the call was sent.
    pub(crate) fn note_answer(&self, run: &EndpointRun, head: &AnswerHead) {
        if head.is_leaving && !head.is_other_endpoint {
            self.note_leaving(run, "answer");
        }
    }

    /// Gives no new requests to a run of an endpoint that is leaving; `from` says who told.
    pub(crate) fn note_leaving(&self, run: &EndpointRun, from: &str) {
        let is_new = self.endpoints.lock().note_leaving(run, Instant::now());
        if is_new {
            spdlog::info!("endpoints: announced that it is leaving", kv: {
                endpoint = run.endpoint.as_str(),
                started_unix_ms = run.started_unix_ms.unwrap_or_default(), from
            });
            self.endpoints_changed.notify_one();
        }
    }
}
