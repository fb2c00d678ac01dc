//! Asks endpoints that are left out for their state, until they answer.

use futures_util::future::join_all;
use pistachioyard_policy::EndpointRecord;

use crate::prelude::*;
use crate::router::{Router, filter};

/// How often it is looked for suspects that are due.
const LOOK_PERIOD: Duration = Duration::from_millis(100);
/// How often a slow endpoint is asked whether it still is.
const SLOW_SURVEY_SPAN: Duration = Duration::from_millis(1_500);
/// How long a suspect may take to answer; a sound endpoint answers in a few ms.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks suspects when they are due.
pub(super) async fn run(router: Arc<Router>) {
    loop {
        // Either way it is looked, so which of the two ended the wait is no matter.
        let _ = tokio::time::timeout(LOOK_PERIOD, router.suspects_due.notified()).await;
        let due = router.endpoints.lock().due_probes(Instant::now());
        join_all(due.iter().map(|record| check(&router, record))).await;
        survey_slow(&router).await;
    }
}

/// Has slow endpoints asked whether they still are; the first of the entries does it,
/// and tells the others.
async fn survey_slow(router: &Arc<Router>) {
    let now = Instant::now();
    if !super::placement::is_candidate(router, now) {
        return;
    }
    let slow = {
        let endpoints = router.endpoints.lock();
        endpoints.unreported_within(endpoints.slow(), SLOW_SURVEY_SPAN, now)
    };
    if !slow.is_empty() {
        filter::survey(router.clone(), slow).await;
    }
}

async fn check(router: &Router, record: &EndpointRecord) {
    let asked = filter::ask_report(&router.client, record.address);
    let report = match tokio::time::timeout(CHECK_TIMEOUT, asked).await {
        Ok(Ok(report)) => Some(report),
        Ok(Err(_)) | Err(_) => None,
    };
    let now = Instant::now();
    let answered = report.is_some();
    {
        let mut endpoints = router.endpoints.lock();
        if let Some(report) = report {
            endpoints.apply_report(&record.endpoint, report, now);
        }
        endpoints.note_probe(&record.endpoint, answered, now);
    }
    spdlog::info!("endpoints: checked", kv: { endpoint = record.endpoint.as_str(), answered });
    if answered {
        router.room.notify_waiters();
    }
    // What is lost for good shows in its checks too.
    router.endpoints_changed.notify_one();
}
