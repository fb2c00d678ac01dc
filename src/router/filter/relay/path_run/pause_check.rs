//! Checks why a stream has paused.

use futures_util::future::join_all;
use pistachioyard_policy::{PauseCheck, PauseVerdict, StallDetector, SuspectReason};

use super::{PathRun, PauseAction};
use crate::prelude::*;
use crate::router::filter::Call;
use crate::router::filter::crash_check::watch_silent;
use crate::router::filter::report_cache::survey;

/// The age of an endpoint's report after which a paused stream requests a new one; each
/// request has a cost.
const MAX_REPORT_AGE: Duration = Duration::from_millis(900);

impl PathRun {
    /// Counts the first endpoint as lost under the request if it turns out to be silent for good.
    pub(in crate::router::filter::relay) fn watch_silent(&mut self, call: &Call) {
        self.unanswered = None;
        if self.is_through_peer {
            return;
        }
        let trial = self.trial.clone();
        let address = self.path.stages[0].address;
        watch_silent(&self.router, call.digest, &self.first_run, address, trial);
    }

    /// Checks why no event arrives, and returns what to do about it.
    ///
    /// The borrow is exclusive because a request that is being sent cannot be shared.
    pub(in crate::router::filter::relay) async fn check_pause(
        &mut self,
        call: &Call,
        stall_detector: &mut StallDetector,
    ) -> PauseAction {
        let check = stall_detector.begin_check(Instant::now());
        if self.is_through_peer {
            return match check {
                PauseCheck::Probe => PauseAction::Wait,
                PauseCheck::Report => finish_check(stall_detector),
            };
        }
        if let Some(dead) = self.find_dead_endpoint(stall_detector.silent_since()).await {
            let why = format!("{dead} is unresponsive");
            return PauseAction::Leave(Some(dead), why);
        }
        match check {
            PauseCheck::Probe => PauseAction::Wait,
            PauseCheck::Report => self.check_first_endpoint(call, stall_detector).await,
        }
    }

    /// Returns an endpoint of the path that is dead, if one is found.
    ///
    /// Endpoints that failed and have not answered since count as dead. Those through which no
    /// event has passed lately are probed.
    async fn find_dead_endpoint(&mut self, silent_since: Instant) -> Option<EndpointId> {
        let now = Instant::now();
        if let Some(silent) = self.silent_endpoints().into_iter().next() {
            return Some(silent);
        }
        let suspicious = {
            let activity = self.router.activity.lock();
            activity.silent_stages(&self.path.stages, silent_since, now)
        };
        let router = &self.router;
        let asked = suspicious.into_iter().map(|stage| async move {
            let is_alive = router.reports.is_alive(&router.client, stage.address).await;
            (!is_alive).then_some(stage.endpoint)
        });
        let dead = join_all(asked).await.into_iter().flatten().next()?;
        self.router.suspect(&dead, SuspectReason::NoAnswer);
        Some(dead)
    }

    /// Requests the first endpoint's report, which names the endpoints at which requests stall.
    async fn check_first_endpoint(
        &mut self,
        call: &Call,
        stall_detector: &mut StallDetector,
    ) -> PauseAction {
        if self.spec.is_none() {
            return finish_check(stall_detector);
        }
        let first = self.path.stages[0].clone();
        let report = self
            .router
            .reports
            .get(&self.router, &first.endpoint, first.address)
            .await;
        let Some(report) = report else {
            self.router
                .suspect(&first.endpoint, SuspectReason::NoAnswer);
            let why = "the first endpoint does not answer".to_owned();
            return PauseAction::Leave(Some(first.endpoint.clone()), why);
        };
        let mut stalled_at = None;
        for (request_id, address) in &report.stalled {
            let Some(endpoint) = self.endpoint_at(*address) else {
                continue;
            };
            self.router.suspect(&endpoint, SuspectReason::RequestsStall);
            if *request_id == call.head.request_id || self.is_on_path(&endpoint) {
                stalled_at = Some(endpoint);
            }
        }
        match stalled_at {
            Some(endpoint) => {
                let why = format!("{endpoint} does not answer");
                PauseAction::Leave(Some(endpoint), why)
            }
            None => {
                let action = finish_check(stall_detector);
                if matches!(action, PauseAction::Wait) {
                    self.survey_path();
                }
                action
            }
        }
    }

    /// Refreshes the reports of the path's endpoints in the background, since a slow endpoint
    /// delays all others.
    fn survey_path(&self) {
        let now = Instant::now();
        let outdated = {
            let endpoints = self.router.endpoints.lock();
            let path = self.path.stages.iter().map(|stage| &stage.endpoint);
            endpoints.unreported_within(path, MAX_REPORT_AGE, now)
        };
        if !outdated.is_empty() {
            tokio::spawn(survey(self.router.clone(), outdated));
        }
    }
}

/// Ends a check that found no fault, and returns whether to stay on the path.
fn finish_check(stall_detector: &mut StallDetector) -> PauseAction {
    match stall_detector.finish_check(Instant::now()) {
        PauseVerdict::Wait => PauseAction::Wait,
        PauseVerdict::Leave => PauseAction::Leave(None, "no event arrived for too long".to_owned()),
    }
}
