//! Keeps the list of endpoints by their entries in the store.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;

use pistachioyard_platform::{ENDPOINT_KIND, Object, StoreAnswerError, decode_endpoint};
use pistachioyard_policy::{EndpointNews, EndpointRecord};

use super::spread;
use super::watch_pace::{self, WatchPace};
use crate::prelude::*;
use crate::router::Router;
use crate::router::log::ms;
use crate::router::store_client::StoreError;

/// The pause after a call that failed; refused calls are priced too, and peers help
/// meanwhile.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// How long entries may be missing after an outage of the store; the platform says
/// that they are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// Reads all entries, then watches them.
pub(super) async fn run(router: Arc<Router>) {
    let mut revision = None;
    let mut pace = WatchPace::default();
    loop {
        let step = match revision {
            None => read(&router).await,
            Some(after) => watch(&router, after).await,
        };
        match step {
            Ok(seen) => {
                revision = Some(seen);
                pace.space_out().await;
            }
            Err(e) => {
                if matches!(e, StoreError::Fault(StoreAnswerError::HistoryGone)) {
                    spdlog::warn!("endpoints: the history is gone, the list is read anew");
                    revision = None;
                }
                tokio::time::sleep(spread(RETRY_PAUSE)).await;
            }
        }
    }
}

async fn read(router: &Arc<Router>) -> Result<u64, StoreError> {
    let page = router.store.list(ENDPOINT_KIND, false).await?;
    let mut listed = BTreeSet::new();
    for object in &page.objects {
        listed.insert(object.name.clone());
        apply(router, object);
    }
    let known: Vec<EndpointId> = router.endpoints.lock().ids().cloned().collect();
    for endpoint in known.iter().filter(|e| !listed.contains(e.as_str())) {
        remove(router, endpoint, kept_until(router));
    }
    Ok(page.revision)
}

async fn watch(router: &Arc<Router>, after: u64) -> Result<u64, StoreError> {
    let wait = watch_pace::wait(router, router.settings.drain_limit);
    let page = tokio::select! {
        page = router.store.watch(ENDPOINT_KIND, after, wait) => page?,
        // A peer knows more, so this watch may have gone silent.
        () = router.endpoints_behind.notified() => return read(router).await,
    };
    for change in &page.changes {
        if !change.deleted {
            apply(router, &change.object);
        } else if let Ok(endpoint) = EndpointId::try_from(change.object.name.as_str()) {
            remove(router, &endpoint, kept_until(router));
            note_revision(router, change.object.revision);
        }
    }
    Ok(page.revision)
}

/// Remembers the newest change, to be compared with what peers know.
fn note_revision(router: &Router, revision: u64) {
    router
        .endpoints_revision
        .fetch_max(revision, Ordering::Relaxed);
}

fn apply(router: &Router, object: &Object) {
    note_revision(router, object.revision);
    let record = match decode_endpoint(&object.name, &object.spec) {
        Ok(record) => record,
        Err(e) => {
            spdlog::warn!("endpoints: an entry is not used", kv: {
                entry = object.name.as_str(), revision = object.revision,
                why = e.to_string().as_str()
            });
            return;
        }
    };
    apply_record(router, record, "store");
}

/// Takes in an endpoint's entry, from the store or from a peer that reads it there.
pub(super) fn apply_record(router: &Router, record: EndpointRecord, from: &'static str) {
    let endpoint = record.endpoint.clone();
    let layers = record
        .state
        .layers
        .map(|l| l.to_string())
        .unwrap_or_default();
    let news = router.endpoints.lock().apply(record, Instant::now());
    if news == EndpointNews::Renewed {
        return;
    }
    spdlog::info!("endpoints: changed", kv: {
        endpoint = endpoint.as_str(), news:?, layers = layers.as_str(), from
    });
    router.room.notify_waiters();
    router.endpoints_changed.notify_one();
}

/// Returns until when entries that are missing may be back after an outage of the store;
/// none if there was none lately.
fn kept_until(router: &Router) -> Option<Instant> {
    let until = router.store.last_failure()? + LAPSE_GRACE;
    (until > Instant::now()).then_some(until)
}

/// Removes an endpoint whose entry is gone; right after an outage of the store it gets
/// time to register again.
pub(super) fn remove(router: &Arc<Router>, endpoint: &EndpointId, kept_until: Option<Instant>) {
    let is_removed = router.endpoints.lock().remove(endpoint, kept_until);
    let kept_ms = kept_until.map_or(0, |until| {
        ms(until.saturating_duration_since(Instant::now()))
    });
    spdlog::info!("endpoints: entry gone", kv: {
        endpoint = endpoint.as_str(), is_removed, kept_ms
    });
    if is_removed {
        router.endpoints_changed.notify_one();
    } else if let Some(until) = kept_until {
        let router = router.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(until.into()).await;
            drop_lapsed(&router);
        });
    }
}

fn drop_lapsed(router: &Router) {
    let gone = router.endpoints.lock().drop_lapsed(Instant::now());
    for endpoint in gone {
        spdlog::info!("endpoints: taken as gone", kv: { endpoint = endpoint.as_str() });
        router.endpoints_changed.notify_one();
    }
}
