//! Keeps the list of endpoints in sync with their records in the store.

use std::collections::BTreeSet;

use pistachioyard_platform::{ENDPOINT_KIND, Object, StoreAnswerError, decode_endpoint};
use pistachioyard_policy::{EndpointChange, EndpointRecord, StoreEra, StorePosition, is_other_era};

use super::record_news::RecordNews;
use super::watch_pace::{self, WatchPace};
use super::{expiry, jittered};
use crate::daemon::yield_turn;
use crate::prelude::*;
use crate::router::Router;
use crate::router::log::ms;
use crate::router::store_client::{InEra, StoreError, log_unread};

/// The pause after a failed call, because even a refused call has a cost. Peers supply the
/// endpoints in the meantime.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The pause before a list after the history that a watch needs has gone, which all entries notice
/// at the same moment.
const RELIST_PAUSE: Duration = Duration::from_millis(50);
/// The grace period for missing records after a store outage or the store's return from an
/// older copy. The platform specifies that endpoints register again within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2_200);

/// The number of records that are decoded, logged or removed before other tasks go first.
const RECORDS_PER_TURN: usize = 200;

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
            Err(e) => {
                log_unread(ENDPOINT_KIND, &e);
                tokio::time::sleep(jittered(RETRY_PAUSE)).await;
            }
        }
    }
}

async fn read(router: &Arc<Router>) -> Result<StorePosition, StoreError> {
    let began = Instant::now();
    let known = latest_position(router);
    let InEra { value: page, era } = router.store.list_in_time(ENDPOINT_KIND).await?;
    let mut records = Vec::new();
    for part in page.objects.chunks(RECORDS_PER_TURN) {
        records.extend(part.iter().filter_map(|object| decode(router, object, era)));
        yield_turn().await;
    }
    let seen = StorePosition {
        era,
        revision: page.revision,
    };
    // The list is applied at once, so that no other task sees a part of it. One that began after a
    // change has it, unless the store has started again with less.
    if seen.is_before(known) {
        forget_positions(router, seen, known);
    }
    note_position(router, era, 0);
    for object in &page.objects {
        note_position(router, era, object.revision);
    }
    let news = records.into_iter();
    let news: Vec<RecordNews> = news.filter_map(|r| apply_stored(router, r)).collect();
    let listed: BTreeSet<&str> = page.objects.iter().map(|o| o.name.as_str()).collect();
    let gone: Vec<EndpointId> = {
        let endpoints = router.endpoints.lock();
        let gone = endpoints
            .stored_ids()
            .filter(|e| !listed.contains(e.as_str()));
        gone.cloned().collect()
    };
    for part in gone.chunks(RECORDS_PER_TURN) {
        for endpoint in part {
            remove(router, endpoint, Some(seen), retain_until(router));
        }
        yield_turn().await;
    }
    router.endpoints_freshness.lock().confirm(began);
    log_all(router, &news, "store").await;
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
    for (n, change) in page.changes.iter().enumerate() {
        if n % RECORDS_PER_TURN == RECORDS_PER_TURN - 1 {
            yield_turn().await;
        }
        if !change.deleted {
            note_position(router, era, change.object.revision);
            let record = decode(router, &change.object, era);
            let news = record.and_then(|record| apply_stored(router, record));
            if let Some(news) = news
                && router.other_lines.allows()
            {
                news.log("store");
            }
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

fn decode(router: &Router, object: &Object, era: Option<StoreEra>) -> Option<EndpointRecord> {
    let changed_at = StorePosition {
        era,
        revision: object.revision,
    };
    match decode_endpoint(&object.name, &*object.spec, changed_at) {
        Ok(record) => Some(record),
        Err(e) => {
            if router.other_lines.allows() {
                spdlog::warn!("endpoints: ignoring an invalid record", kv: {
                    entry = object.name.as_str(), revision = object.revision,
                    why = e.to_string().as_str()
                });
            }
            None
        }
    }
}

/// Applies a record from the store, unless the store came back from an older copy that holds it.
fn apply_stored(router: &Router, record: EndpointRecord) -> Option<RecordNews> {
    if is_just_returned(router) && router.endpoints.lock().shows_older_copy(&record) {
        if router.other_lines.allows() {
            spdlog::info!("endpoints: ignoring a record from an older copy", kv: {
                endpoint = record.endpoint.as_str(), revision = record.changed_at.revision
            });
        }
        return None;
    }
    apply(router, record)
}

/// Returns whether the store came back from an older copy so recently that endpoints may not
/// have written again.
fn is_just_returned(router: &Router) -> bool {
    let since = router.store.last_return();
    since.is_some_and(|since| since.elapsed() < REREGISTRATION_GRACE)
}

/// Applies a peer's copies of all records, and returns what has changed.
pub(super) fn apply_all(router: &Router, records: Vec<EndpointRecord>) -> Vec<RecordNews> {
    let news = records.into_iter().filter_map(|r| apply(router, r));
    news.collect()
}

/// Applies an endpoint's record from the store, or a copy of it from a peer, and returns what has
/// changed; none if nothing did.
fn apply(router: &Router, record: EndpointRecord) -> Option<RecordNews> {
    let (endpoint, layers) = (record.endpoint.clone(), record.state.layers);
    let change = router.endpoints.lock().apply(record, Instant::now());
    if change == EndpointChange::Renewed {
        return None;
    }
    if !matches!(change, EndpointChange::Outdated | EndpointChange::SetAside) {
        router.capacity_changed.notify_waiters();
        router.endpoints_changed.notify_one();
    }
    Some(RecordNews {
        endpoint,
        layers,
        change,
    })
}

/// Logs what a list has changed.
pub(super) async fn log_all(router: &Router, news: &[RecordNews], from: &'static str) {
    for part in news.chunks(RECORDS_PER_TURN) {
        for news in part.iter().filter(|_| router.other_lines.allows()) {
            news.log(from);
        }
        yield_turn().await;
    }
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
    if router.other_lines.allows() {
        spdlog::info!("endpoints: record deleted", kv: {
            endpoint = endpoint.as_str(), is_removed, kept_ms
        });
    }
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
