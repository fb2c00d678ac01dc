//! Probes ejected endpoints until they answer.

use futures_util::future::join_all;
use pistachioyard_policy::{EndpointRecord, ProbeResult, RunFate};

use crate::error::CallError;
use crate::prelude::*;
use crate::router::{Router, filter};

/// How often the list of suspects is checked for due probes.
const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// How often a slow endpoint is asked whether it is still slow.
const SLOW_SURVEY_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a suspect may take to answer a probe; a healthy one answers within a few ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes suspects when they are due.
pub(super) async fn run(router: Arc<Router>) {
    loop {
        // A timeout and a notification both lead to the next check.
        let _ = tokio::time::timeout(CHECK_PERIOD, router.suspects_due.notified()).await;
        let mut due = router.endpoints.lock().due_probes(Instant::now());
        // A service out of reach is tried by the controller of the reach.
        due.retain(|record| !router.is_out_of_reach(&record.service));
        join_all(due.iter().map(|record| probe(&router, record))).await;
        survey_slow(&router).await;
    }
}

/// Surveys slow endpoints to find out whether they have recovered. Only the first of the
/// live entries does so, and it tells the others by gossip.
async fn survey_slow(router: &Arc<Router>) {
    let now = Instant::now();
    if !super::placement::is_candidate(router, now) {
        return;
    }
    let slow = {
        let endpoints = router.endpoints.lock();
        endpoints.unreported_within(endpoints.slow(), SLOW_SURVEY_INTERVAL, now)
    };
    if !slow.is_empty() {
        filter::survey(router.clone(), slow).await;
    }
}

async fn probe(router: &Arc<Router>, record: &EndpointRecord) {
    let to = record.address;
    let fetched = filter::fetch_report(router, &record.endpoint, to, PROBE_TIMEOUT).await;
    let (report, result) = match fetched {
        Ok(report) => (Some(report), ProbeResult::Answered),
        // An endpoint of a plain service has no report, but it answers.
        Err(e) if e.is_answered() => (None, ProbeResult::Answered),
        Err(CallError::Refused { .. }) => (None, ProbeResult::Refused),
        Err(CallError::Shortage { .. }) => {
            // Nothing was learned of the endpoint, which stays due.
            tokio::time::sleep(PROBE_TIMEOUT).await;
            return;
        }
        Err(_) => (None, ProbeResult::Silent),
    };
    let now = Instant::now();
    let answered = result == ProbeResult::Answered;
    let is_opinion_due = {
        let mut endpoints = router.endpoints.lock();
        if let Some(report) = report {
            endpoints.apply_report(&record.endpoint, report, now);
        }
        // This entry may be cut off, so a refusal counts once it is confirmed.
        let is_confirmed = endpoints.is_confirmed_dead(&record.endpoint);
        let counted = match result {
            ProbeResult::Refused if !is_confirmed => ProbeResult::Silent,
            result => result,
        };
        endpoints.note_probe(&record.endpoint, counted, now);
        !answered && endpoints.take_due_opinion(&record.endpoint, now)
    };
    spdlog::info!("endpoints: probed", kv: {
        endpoint = record.endpoint.as_str(), answered, result:?
    });
    if answered {
        router.capacity_changed.notify_waiters();
    }
    if is_opinion_due {
        tokio::spawn(confirm(router.clone(), record.clone(), result));
    }
    // A failed probe may show that the endpoint is lost, so that its layers must be reassigned.
    router.endpoints_changed.notify_one();
}

/// Asks a peer whether an endpoint that does not answer this entry is alive.
async fn confirm(router: Arc<Router>, record: EndpointRecord, result: ProbeResult) {
    let fate = router.fate_of_silent(&record.run()).await;
    if fate == RunFate::Ended && result == ProbeResult::Refused {
        let is_first = {
            let mut endpoints = router.endpoints.lock();
            endpoints.confirm_dead(&record.endpoint);
            endpoints.note_probe(&record.endpoint, ProbeResult::Refused, Instant::now())
        };
        if is_first {
            router.urgent_news.notify_one();
        }
    }
    router.endpoints_changed.notify_one();
}
