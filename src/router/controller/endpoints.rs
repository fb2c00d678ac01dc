//! Keeps the list of endpoints in sync with their records in the store.

use std::collections::BTreeSet;

use pistachioyard_platform::{ENDPOINT_KIND, Object, StoreAnswerError, decode_endpoint};
use pistachioyard_policy::{EndpointChange, EndpointRecord, StoreEra, StorePosition, is_other_era};

use super::watch_pace::{self, WatchPace};
use super::{expiry, jittered};
use crate::prelude::*;
use crate::router::Router;
use crate::router::log::ms;
use crate::router::store_client::{InEra, StoreError};

/// The pause after a failed call, because even a refused call has a cost. Peers supply the
/// endpoints in the meantime.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The pause before a list after the history that a watch needs has gone, which all entries notice
/// at the same moment.
const RELIST_PAUSE: Duration = Duration::from_millis(50);
/// The grace period for missing records after a store outage or the store's return from an
/// older copy. The platform specifies that endpoints register again within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// Reads all records, then watches them for changes.
pub(super) async fn run(router: Arc<Router>) {
    let mut position = None;
    let mut pace = WatchPace::default();
    loop {
        let step = match position {
            None => read(&router).await,
            Some(after) => watch(&router, after).await,
        };
        match step {
            Ok(seen) => {
                router.note_ended_runs();
                position = Some(seen);
                pace.throttle(&router, router.settings.drain_limit).await;
            }
            Err(StoreError::Fault(StoreAnswerError::HistoryGone)) => {
                spdlog::warn!("endpoints: watch history expired, listing all records again");
                position = None;
                tokio::time::sleep(jittered(RELIST_PAUSE)).await;
            }
            Err(_) => tokio::time::sleep(jittered(RETRY_PAUSE)).await,
        }
    }
}

async fn read(router: &Arc<Router>) -> Result<StorePosition, StoreError> {
    let began = Instant::now();
    let known = latest_position(router);
    let InEra { value: page, era } = router.store.list_in_time(ENDPOINT_KIND).await?;
    router.endpoints_freshness.lock().confirm(began);
    let seen = StorePosition {
        era,
        revision: page.revision,
    };
    // A list that began after a change has it, unless the store has started again with less.
    if seen.is_before(known) {
        forget_positions(router, seen, known);
    }
    note_position(router, era, 0);
    let mut listed = BTreeSet::new();
    for object in &page.objects {
        listed.insert(object.name.clone());
        apply(router, object, era);
    }
    let known: Vec<EndpointId> = router.endpoints.lock().ids().cloned().collect();
    for endpoint in known.iter().filter(|e| !listed.contains(e.as_str())) {
        remove(router, endpoint, Some(seen), retain_until(router));
    }
    Ok(seen)
}

/// Waits for changes after a position; if the store has come back from an older copy since, the
/// changes after that revision are not all, so all records are read again.
async fn watch(router: &Arc<Router>, after: StorePosition) -> Result<StorePosition, StoreError> {
    let limit = router.settings.drain_limit;
    let wait = watch_pace::role(router).wait(limit);
    let began = Instant::now();
    let InEra { value: page, era } = tokio::select! {
        biased;
        // A watch that hangs, here and at all peers, cannot be told from one without news.
        () = expiry::expired(&router.endpoints_freshness, ENDPOINT_KIND, limit) => {
            return read(router).await;
        }
        page = router.store.watch(ENDPOINT_KIND, after.revision, wait) => page?,
        // A peer has seen a newer change, so this watch may be on a dead connection.
        () = router.endpoints_outdated.notified() => return read(router).await,
        () = router.store.wait_for_other_era(after.era) => return read(router).await,
    };
    if is_other_era(era, after.era) {
        return read(router).await;
    }
    for change in &page.changes {
        if !change.deleted {
            apply(router, &change.object, era);
        } else if let Ok(endpoint) = EndpointId::try_from(change.object.name.as_str()) {
            let revision = change.object.revision;
            let deleted_at = StorePosition { era, revision };
            remove(router, &endpoint, Some(deleted_at), retain_until(router));
            note_position(router, era, revision);
        }
    }
    let now = Instant::now();
    router
        .endpoints_freshness
        .lock()
        .confirm_watch(began, wait, now);
    let revision = page.revision;
    Ok(StorePosition { era, revision })
}

/// Returns the latest position at which the store is known to have been.
fn latest_position(router: &Router) -> StorePosition {
    let records = router.endpoints.lock().latest_position();
    let watched = router.endpoints_lag.lock().newest();
    if records.is_before(watched) {
        watched
    } else {
        records
    }
}

/// Forgets what the revisions of an earlier history say, so that the records of the new one count.
fn forget_positions(router: &Router, seen: StorePosition, known: StorePosition) {
    spdlog::warn!("endpoints: the store's revisions have begun anew", kv: {
        revision = seen.revision, before = known.revision
    });
    router.endpoints.lock().forget_positions();
    router.endpoints_lag.lock().restart(seen);
}

/// Records the position of a change, for comparison with the peers.
fn note_position(router: &Router, era: Option<StoreEra>, revision: u64) {
    let seen = StorePosition { era, revision };
    router.endpoints_lag.lock().note(seen);
}

fn apply(router: &Router, object: &Object, era: Option<StoreEra>) {
    note_position(router, era, object.revision);
    let changed_at = StorePosition {
        era,
        revision: object.revision,
    };
    let record = match decode_endpoint(&object.name, &*object.spec, changed_at) {
        Ok(record) => record,
        Err(e) => {
            spdlog::warn!("endpoints: ignoring an invalid record", kv: {
                entry = object.name.as_str(), revision = object.revision,
                why = e.to_string().as_str()
            });
            return;
        }
    };
    if is_just_returned(router) && router.endpoints.lock().shows_older_copy(&record) {
        spdlog::info!("endpoints: ignoring a record from an older copy", kv: {
            endpoint = record.endpoint.as_str(), revision = object.revision
        });
        return;
    }
    apply_record(router, record, "store");
}

/// Returns whether the store came back from an older copy so recently that endpoints may not
/// have written again.
fn is_just_returned(router: &Router) -> bool {
    let since = router.store.last_return();
    since.is_some_and(|since| since.elapsed() < REREGISTRATION_GRACE)
}

/// Applies an endpoint's record from the store, or a copy of it from a peer.
pub(super) fn apply_record(router: &Router, record: EndpointRecord, from: &'static str) {
    let endpoint = record.endpoint.clone();
    let layers = record
        .state
        .layers
        .map(|l| l.to_string())
        .unwrap_or_default();
    let news = router.endpoints.lock().apply(record, Instant::now());
    if news == EndpointChange::Renewed {
        return;
    }
    if news == EndpointChange::Outdated {
        spdlog::info!("endpoints: ignoring an older record", kv: {
            endpoint = endpoint.as_str(), from
        });
        return;
    }
    spdlog::info!("endpoints: changed", kv: {
        endpoint = endpoint.as_str(), news:?, layers = layers.as_str(), from
    });
    router.capacity_changed.notify_waiters();
    router.endpoints_changed.notify_one();
}

/// Returns the end of the grace period after a store outage or its return from an older copy,
/// or `None` if there was neither recently.
fn retain_until(router: &Router) -> Option<Instant> {
    let since = router
        .store
        .last_failure()
        .max(router.store.last_return())?;
    let until = since + REREGISTRATION_GRACE;
    (until > Instant::now()).then_some(until)
}

/// Removes an endpoint whose record was deleted. Right after a store outage or return the
/// endpoint is kept until the end of the grace period, so that it can register again.
/// `deleted_at` is a position at which the store had no record, if that is known.
pub(super) fn remove(
    router: &Arc<Router>,
    endpoint: &EndpointId,
    deleted_at: Option<StorePosition>,
    retain_until: Option<Instant>,
) {
    let now = Instant::now();
    let is_removed = {
        let mut endpoints = router.endpoints.lock();
        endpoints.remove(endpoint, deleted_at, retain_until, now)
    };
    let kept_ms = retain_until.map_or(0, |until| {
        ms(until.saturating_duration_since(Instant::now()))
    });
    spdlog::info!("endpoints: record deleted", kv: {
        endpoint = endpoint.as_str(), is_removed, kept_ms
    });
    if is_removed {
        router.endpoints_changed.notify_one();
    } else if let Some(until) = retain_until {
        let router = router.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(until.into()).await;
            remove_expired(&router);
        });
    }
}

fn remove_expired(router: &Router) {
    let expired = router.endpoints.lock().drop_lapsed(Instant::now());
    router.note_ended_runs();
    for endpoint in expired {
        spdlog::info!("endpoints: grace period over", kv: { endpoint = endpoint.as_str() });
        router.endpoints_changed.notify_one();
    }
}
