//! Applies findings about requests that crash endpoints.

use pistachioyard_wire::{QuarantineMark, RequestDigest};

use super::{Router, metric};
use crate::prelude::*;

impl Router {
    /// Records that an endpoint was lost while it ran a request.
    ///
    /// A request is refused once three endpoints were lost while they ran it. A request that
    /// has completed is not blamed for the losses.
    pub(crate) fn note_crash(&self, digest: RequestDigest, endpoint: &EndpointId) {
        let run = {
            let endpoints = self.endpoints.lock();
            let started = endpoints.run_of(endpoint).started_unix_ms;
            Self::run_id(endpoint, started)
        };
        let (quarantined, crashes) = {
            let mut quarantine = self.quarantine.lock();
            let quarantined = quarantine.record_crash(&[digest], run, Instant::now());
            (quarantined, quarantine.count_crashes(digest))
        };
        spdlog::info!("quarantine: endpoint lost under a request", kv: {
            endpoint = endpoint.as_str(), run = run.0.simple().to_string().as_str(),
            digest = digest.to_string().as_str(), crashes
        });
        self.log_quarantined(&quarantined, "");
    }

    /// Merges the marks of a peer.
    pub(crate) fn merge_quarantine(&self, marks: &[QuarantineMark], from: &EntryId, now: Instant) {
        let quarantined = self.quarantine.lock().merge(marks, now);
        self.log_quarantined(&quarantined, from.as_str());
    }

    fn log_quarantined(&self, quarantined: &[RequestDigest], from: &str) {
        for digest in quarantined {
            metric::count_quarantined_request();
            let crashes = self.quarantine.lock().count_crashes(*digest);
            spdlog::warn!("quarantine: request refused", kv: {
                digest = digest.to_string().as_str(), crashes, from
            });
        }
    }
}
