//! Applies findings about prompt parts that crash endpoints.

use pistachioyard_policy::{EndpointRecord, PartConviction, PartVerdict};
use pistachioyard_wire::{PartReport, PromptPart};
use xxhash_rust::xxh3::xxh3_128;

use super::{Router, controller, metric};
use crate::prelude::*;

/// The maximum number of crashed endpoint runs, and of parts, in one log line.
const MAX_LOGGED: usize = 8;

impl Router {
    /// Returns the id of an endpoint's run, the same on all entries.
    pub(crate) fn endpoint_run(record: &EndpointRecord) -> BootId {
        Self::run_id(&record.endpoint, record.state.started_unix_ms)
    }

    /// Returns the id of the run of an endpoint that started at this time.
    pub(super) fn run_id(endpoint: &EndpointId, started_unix_ms: Option<u64>) -> BootId {
        let started = started_unix_ms.unwrap_or_default();
        let run = xxh3_128(format!("{endpoint}/{started}").as_bytes());
        BootId(uuid::Uuid::from_u128(run))
    }

    /// Returns the problem for a request with a convicted part; none if it may run.
    pub(crate) fn check_parts(&self, parts: &[PromptPart]) -> Option<Problem> {
        let verdict = self.parts.lock().verdict(parts, Instant::now());
        match verdict {
            PartVerdict::Clear => None,
            PartVerdict::Refused { part, retry_after } => {
                metric::count_part_refusal();
                let detail = format!(
                    "part {part} of the prompt has crashed the endpoints that ran it; the request \
                     was not run"
                );
                let problem = Problem::new(ProblemKind::Quarantined, Outcome::NotRun, detail);
                Some(super::filter::quarantined(problem, retry_after))
            }
        }
    }

    /// Records that an endpoint run that lost requests has crashed, and tells peers of the parts
    /// that are convicted.
    pub(crate) async fn note_part_crash(&self, endpoint: &EndpointId, run: BootId) {
        let (convictions, suspects) = {
            let mut parts = self.parts.lock();
            (
                parts.confirm_crash(run, Instant::now()),
                parts.suspects(run),
            )
        };
        let listed = suspects.iter().take(MAX_LOGGED);
        let listed: Vec<String> = listed.map(PromptPart::to_string).collect();
        spdlog::warn!("quarantine: endpoint crashed", kv: {
            endpoint = endpoint.as_str(), run = run.0.simple().to_string().as_str(),
            suspects = suspects.len(), parts = listed.join(",").as_str()
        });
        self.log_convictions(&convictions, "");
        if !convictions.is_empty() {
            controller::announce(self).await;
        }
    }

    /// Convicts the parts that explain the crashes by now.
    pub(crate) fn review_parts(&self) {
        let convictions = self.parts.lock().review(Instant::now());
        self.log_convictions(&convictions, "");
    }

    /// Records that an endpoint has written an answer on these parts without crashing.
    pub(crate) fn note_sound_parts(&self, parts: &[PromptPart]) {
        let acquitted = self.parts.lock().record_sound(parts, Instant::now());
        log_acquittals(&acquitted, "");
    }

    /// Merges findings; `from` names the peer, or the store.
    pub(crate) fn merge_parts(&self, report: &PartReport, from: &str, now: Instant) {
        let findings = self.parts.lock().merge(report, now);
        self.log_convictions(&findings.convicted, from);
        log_acquittals(&findings.acquitted, from);
    }

    fn log_convictions(&self, convictions: &[PartConviction], from: &str) {
        if !convictions.is_empty() {
            self.convictions_changed.notify_one();
        }
        for conviction in convictions {
            metric::count_part_conviction();
            let runs = conviction.crashed.iter().take(MAX_LOGGED);
            let runs: Vec<String> = runs.map(|run| run.0.simple().to_string()).collect();
            spdlog::warn!("quarantine: part refused", kv: {
                part = conviction.part.to_string().as_str(), crashes = conviction.crashed.len(),
                runs = runs.join(",").as_str(), from
            });
        }
    }
}

fn log_acquittals(acquitted: &[PromptPart], from: &str) {
    for part in acquitted {
        spdlog::info!("quarantine: part is sound", kv: { part = part.to_string().as_str(), from });
    }
}
