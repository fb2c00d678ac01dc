//! Applies findings about requests that crash endpoints.

use pistachioyard_policy::{EndpointRun, QuarantineVerdict, RunFate, responsible_entry};
use pistachioyard_wire::{QuarantineMark, RequestDigest};

use super::{Router, metric};
use crate::prelude::*;

/// How long one entry is responsible for the trials of a request; longer than a trial takes.
const TRIAL_TURN: Duration = Duration::from_secs(30);
/// The maximum number of requests that get a line for the end of one run.
const MAX_LOGGED: usize = 16;
/// When a caller may ask again whose request waits for the end of another one's trial.
const TRIAL_RETRY: Duration = Duration::from_secs(2);

/// Says whether a request may run that has crashed endpoints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SuspectAdmission {
    /// It may.
    Free,
    /// It may run once, as a trial.
    Trial,
    /// It is refused.
    Refused {
        /// The time until it is accepted again.
        retry_after: Duration,
    },
}

impl Router {
    /// Returns whether a request may run that has crashed endpoints.
    ///
    /// After a hold, one entry at a time runs one request as a trial. Entries take turns, since
    /// the callers of a request may not reach all of them.
    pub(crate) fn admit_suspect(&self, digest: RequestDigest) -> SuspectAdmission {
        let now = Instant::now();
        let verdict = self.quarantine.lock().verdict(digest, now);
        match verdict {
            QuarantineVerdict::Clear | QuarantineVerdict::Suspect { .. } => SuspectAdmission::Free,
            QuarantineVerdict::Quarantined { retry_after } => {
                SuspectAdmission::Refused { retry_after }
            }
            QuarantineVerdict::OnTrial { lapsed } => {
                let turn = lapsed.as_secs() / TRIAL_TURN.as_secs();
                if !self.is_responsible(digest.0.wrapping_add(turn), now) {
                    return SuspectAdmission::Refused {
                        retry_after: TRIAL_RETRY,
                    };
                }
                let may_run = self.quarantine.lock().begin_trial(digest, now);
                spdlog::info!("quarantine: hold is over", kv: {
                    digest = digest.to_string().as_str(), may_run
                });
                match may_run {
                    true => SuspectAdmission::Trial,
                    false => SuspectAdmission::Refused {
                        retry_after: TRIAL_RETRY,
                    },
                }
            }
        }
    }

    /// Returns how long a request that was admitted is refused after all, since it was found to
    /// crash endpoints while it waited; none if it may be sent.
    pub(crate) fn hold_since_admission(
        &self,
        digest: RequestDigest,
        is_trial: bool,
    ) -> Option<Duration> {
        match self.quarantine.lock().verdict(digest, Instant::now()) {
            QuarantineVerdict::Clear | QuarantineVerdict::Suspect { .. } => None,
            QuarantineVerdict::OnTrial { .. } if is_trial => None,
            QuarantineVerdict::OnTrial { .. } => Some(TRIAL_RETRY),
            QuarantineVerdict::Quarantined { retry_after } => Some(retry_after),
        }
    }

    /// Returns whether a request that was sent before may not be sent again, since it crashed
    /// endpoints; the trial of one whose hold has ended is a single attempt.
    pub(crate) fn is_quarantined(&self, digest: RequestDigest) -> bool {
        self.hold_since_admission(digest, false).is_some()
    }

    /// Returns whether this entry is the responsible one of the live entries for a key.
    fn is_responsible(&self, key: u64, now: Instant) -> bool {
        let members = self.members.lock();
        let live = members.live(now).into_iter().map(|record| &record.entry);
        responsible_entry(key, live).is_none_or(|entry| *entry == self.settings.entry)
    }

    /// Records what became of a run that lost a request.
    ///
    /// A request is refused once three endpoints have ended while they ran it. A request that
    /// has completed is not blamed for the losses.
    pub(crate) fn settle_loss(&self, digest: RequestDigest, run: &EndpointRun, fate: RunFate) {
        let id = Self::run_id(&run.endpoint, run.started_unix_ms);
        if fate == RunFate::Ended {
            self.note_end(id, run.endpoint.as_str());
            return;
        }
        self.quarantine.lock().dismiss_loss(digest, id);
        metric::count_uncounted_loss(fate);
        spdlog::info!("quarantine: a loss counts against no request", kv: {
            endpoint = run.endpoint.as_str(), digest = digest.to_string().as_str(),
            fate = fate.as_str()
        });
    }

    /// Records that a run has ended, which makes the losses of requests there crashes; `told_by`
    /// names the endpoint that was judged, or the store.
    pub(crate) fn note_end(&self, run: BootId, told_by: &str) {
        let (counted, quarantined) = self.quarantine.lock().record_end(run, Instant::now());
        for digest in counted.iter().take(MAX_LOGGED) {
            let crashes = self.quarantine.lock().count_crashes(*digest);
            spdlog::info!("quarantine: endpoint lost under a request", kv: {
                endpoint = told_by, run = run.0.simple().to_string().as_str(),
                digest = digest.to_string().as_str(), crashes
            });
        }
        self.log_quarantined(&quarantined, "");
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
        if marks.iter().any(|mark| !mark.undecided.is_empty()) {
            self.note_ended_runs();
        }
    }

    fn log_quarantined(&self, quarantined: &[RequestDigest], from: &str) {
        if !quarantined.is_empty() {
            self.convictions_changed.notify_one();
            // Told at once, since this entry may end before the next round.
            self.urgent_news.notify_one();
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
