//! Applies findings about requests that crash endpoints.

use pistachioyard_policy::{EndpointRun, QuarantineVerdict, RunFate, responsible_entry};
use pistachioyard_wire::{QuarantineMark, RequestDigest};

use super::{Router, metric};
use crate::prelude::*;

/// How long one entry is responsible for the trials of a request; longer than a trial takes.
const TRIAL_TURN: Duration = Duration::from_secs(30);
/// When a caller may ask again whose request waits for the end of another one's trial.
const TRIAL_RETRY: Duration = Duration::from_secs(2);

impl Router {
    /// Returns how long a request is refused because it crashed endpoints; none if it may run.
    ///
    /// After a hold, one entry at a time runs one request as a trial. Entries take turns, since
    /// the callers of a request may not reach all of them.
    pub(crate) fn quarantine_hold(&self, digest: RequestDigest) -> Option<Duration> {
        let now = Instant::now();
        let verdict = self.quarantine.lock().verdict(digest, now);
        match verdict {
            QuarantineVerdict::Clear | QuarantineVerdict::Suspect { .. } => None,
            QuarantineVerdict::Quarantined { retry_after } => Some(retry_after),
            QuarantineVerdict::OnTrial { lapsed } => {
                let turn = lapsed.as_secs() / TRIAL_TURN.as_secs();
                if !self.is_responsible(digest.0.wrapping_add(turn), now) {
                    return Some(TRIAL_RETRY);
                }
                let may_run = self.quarantine.lock().begin_trial(digest, now);
                spdlog::info!("quarantine: hold is over", kv: {
                    digest = digest.to_string().as_str(), may_run
                });
                (!may_run).then_some(TRIAL_RETRY)
            }
        }
    }

    /// Returns whether a request that was sent before may not be sent again, since it crashed
    /// endpoints; the trial of one whose hold has ended is a single attempt.
    pub(crate) fn is_quarantined(&self, digest: RequestDigest) -> bool {
        let verdict = self.quarantine.lock().verdict(digest, Instant::now());
        matches!(
            verdict,
            QuarantineVerdict::Quarantined { .. } | QuarantineVerdict::OnTrial { .. }
        )
    }

    /// Returns whether this entry is the responsible one of the live entries for a key.
    fn is_responsible(&self, key: u64, now: Instant) -> bool {
        let members = self.members.lock();
        let live = members.live(now).into_iter().map(|record| &record.entry);
        responsible_entry(key, live).is_none_or(|entry| *entry == self.settings.entry)
    }

    /// Records that a run of an endpoint was lost while it ran a request.
    ///
    /// A request is refused once three endpoints were lost while they ran it. A request that
    /// has completed is not blamed for the losses.
    pub(crate) fn note_crash_of_run(&self, digest: RequestDigest, run: &EndpointRun) {
        let endpoint = &run.endpoint;
        let run = Self::run_id(endpoint, run.started_unix_ms);
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

    /// Logs what became of a run that lost a request, unless it has ended.
    pub(crate) fn log_fate(&self, digest: RequestDigest, run: &EndpointRun, fate: RunFate) {
        if fate == RunFate::Ended {
            return;
        }
        metric::count_uncounted_loss(fate);
        spdlog::info!("quarantine: a loss counts against no request", kv: {
            endpoint = run.endpoint.as_str(), digest = digest.to_string().as_str(),
            fate = fate.as_str()
        });
    }

    /// Records that a request was answered, so that it did not cause its crashes.
    pub(crate) fn record_completion(&self, digest: RequestDigest) {
        self.quarantine
            .lock()
            .record_completion(digest, Instant::now());
    }

    /// Merges marks; `from` names the peer, or the store.
    pub(crate) fn merge_quarantine(&self, marks: &[QuarantineMark], from: &str, now: Instant) {
        let quarantined = self.quarantine.lock().merge(marks, now);
        self.log_quarantined(&quarantined, from);
    }

    fn log_quarantined(&self, quarantined: &[RequestDigest], from: &str) {
        if !quarantined.is_empty() {
            self.convictions_changed.notify_one();
        }
        for digest in quarantined {
            metric::count_quarantined_request();
            let crashes = self.quarantine.lock().count_crashes(*digest);
            spdlog::warn!("quarantine: request refused", kv: {
                digest = digest.to_string().as_str(), crashes, from
            });
        }
    }
}
