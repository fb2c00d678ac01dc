//! Finds out why nothing comes on a stream.

use futures_util::future::join_all;
use pistachioyard_policy::{PauseCheck, PauseVerdict, StallDetector, SuspectReason};

use super::{Flight, Verdict};
use crate::prelude::*;
use crate::router::filter::Call;
use crate::router::filter::report_cache::survey;

/// How old what an endpoint said may be until a stream that pauses has it asked again;
/// each question is priced.
const SURVEY_SPAN: Duration = Duration::from_millis(900);

impl Flight {
    /// Finds out why nothing comes.
    pub(in crate::router::filter::relay) async fn look_into(
        &self,
        call: &Call,
        gaps: &mut StallDetector,
    ) -> Verdict {
        let look = gaps.begin_check(Instant::now());
        if let Some(dead) = self.dead_endpoint(gaps.silent_since()).await {
            let why = format!("{dead} is dead");
            return Verdict::Leave(Some(dead), why);
        }
        match look {
            PauseCheck::Probe => Verdict::Wait,
            PauseCheck::Report => self.ask_first(call, gaps).await,
        }
    }

    /// Asks the endpoints through which nothing has come lately whether they live.
    async fn dead_endpoint(&self, silent_since: Instant) -> Option<EndpointId> {
        let now = Instant::now();
        let stages = &self.path.stages;
        if let Some(silent) = self.silent_endpoints().into_iter().next() {
            return Some(silent);
        }
        let doubted = {
            let flow = self.router.flow.lock();
            flow.silent_stages(stages, silent_since, now)
        };
        let asked = doubted.into_iter().map(|stage| async move {
            let (reports, client) = (&self.router.reports, &self.router.client);
            let is_alive = reports.is_alive(client, stage.address).await;
            (!is_alive).then_some(stage.endpoint)
        });
        let dead = join_all(asked).await.into_iter().flatten().next()?;
        self.router.suspect(&dead, SuspectReason::NoAnswer);
        Some(dead)
    }

    /// Asks the first endpoint why nothing comes.
    async fn ask_first(&self, call: &Call, gaps: &mut StallDetector) -> Verdict {
        if self.spec.is_none() {
            return next_look(gaps);
        }
        let first = &self.path.stages[0];
        let report = self
            .router
            .reports
            .get(&self.router.client, first.address)
            .await;
        let Some(report) = report else {
            self.router
                .suspect(&first.endpoint, SuspectReason::NoAnswer);
            let why = "the first endpoint does not answer".to_owned();
            return Verdict::Leave(Some(first.endpoint.clone()), why);
        };
        let mut stalled_at = None;
        for (request_id, address) in &report.stalled {
            let Some(endpoint) = self.endpoint_at(*address) else {
                continue;
            };
            self.router.suspect(&endpoint, SuspectReason::RequestsStall);
            if *request_id == call.head.request_id || self.passes(&endpoint) {
                stalled_at = Some(endpoint);
            }
        }
        match stalled_at {
            Some(endpoint) => {
                let why = format!("{endpoint} does not answer");
                Verdict::Leave(Some(endpoint), why)
            }
            None => {
                let verdict = next_look(gaps);
                if matches!(verdict, Verdict::Wait) {
                    self.survey();
                }
                verdict
            }
        }
    }

    /// Has the endpoints of the path asked how fast they run, since one that is slow
    /// holds up all the others.
    fn survey(&self) {
        let now = Instant::now();
        let unheard = {
            let endpoints = self.router.endpoints.lock();
            let path = self.path.stages.iter().map(|stage| &stage.endpoint);
            endpoints.unreported_within(path, SURVEY_SPAN, now)
        };
        if !unheard.is_empty() {
            tokio::spawn(survey(self.router.clone(), unheard));
        }
    }
}

/// Decides after a look that found nothing.
fn next_look(gaps: &mut StallDetector) -> Verdict {
    match gaps.finish_check(Instant::now()) {
        PauseVerdict::Wait => Verdict::Wait,
        PauseVerdict::Leave => Verdict::Leave(None, "nothing came for too long".to_owned()),
    }
}
