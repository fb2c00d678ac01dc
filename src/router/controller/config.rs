//! Keeps the operators' configuration up to date.

use pistachioyard_platform::{CONFIG_KIND, CONFIG_NAME, Object, StoreAnswerError, decode_config};

use pistachioyard_policy::{StorePosition, is_other_era};

use serde_json::value::RawValue;

use super::watch_pace::{self, WatchPace};
use super::{expiry, jittered};
use crate::prelude::*;
use crate::router::log::ms;
use crate::router::store_client::{InEra, StoreError, log_unread};
use crate::router::{ActiveConfig, Router};

/// The pause after a failed call. Refused calls have a cost too, and peers supply the
/// configuration in the meantime.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a peer may have a newer version before this entry reads it, since its watch may be on a
/// dead connection.
const MAX_VERSION_LAG: Duration = Duration::from_millis(150);

/// Reads the configuration, then watches it for changes.
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
                position = Some(seen);
                // In a small fleet each version is adopted at once, as few entries read it.
                if router.is_large_fleet() {
                    pace.throttle(&router, router.settings.config_limit).await;
                }
            }
            Err(StoreError::Fault(StoreAnswerError::HistoryGone)) => {
                spdlog::warn!("config: watch history expired, reading the configuration again");
                position = None;
            }
            Err(e) => {
                log_unread(CONFIG_KIND, &e);
                // The store may have dropped changes from its history since the failed watch.
                position = None;
                tokio::time::sleep(jittered(RETRY_PAUSE)).await;
            }
        }
    }
}

async fn read(router: &Router) -> Result<StorePosition, StoreError> {
    let began = Instant::now();
    let InEra { value: page, era } = router.store.list_in_time(CONFIG_KIND).await?;
    for object in &page.objects {
        adopt(router, object);
    }
    router.config_freshness.lock().confirm(began);
    let revision = page.revision;
    Ok(StorePosition { era, revision })
}

/// Waits for changes after a position; if the store has come back from an older copy since, the
/// changes after that revision are not all, so the configuration is read again.
async fn watch(router: &Router, after: StorePosition) -> Result<StorePosition, StoreError> {
    let limit = router.settings.config_limit;
    let wait = watch_pace::role(router).wait(limit);
    let began = Instant::now();
    tokio::select! {
        biased;
        () = expiry::expired(&router.config_freshness, CONFIG_KIND, limit) => read(router).await,
        page = router.store.watch(CONFIG_KIND, after.revision, wait) => {
            let InEra { value: page, era } = page?;
            if is_other_era(era, after.era) {
                return read(router).await;
            }
            for change in page.changes.iter().filter(|change| !change.deleted) {
                adopt(router, &change.object);
            }
            let mut freshness = router.config_freshness.lock();
            freshness.confirm_watch(began, wait, Instant::now());
            let revision = page.revision;
            Ok(StorePosition { era, revision })
        }
        () = outdated(router) => read(router).await,
        () = router.store.wait_for_other_era(after.era) => read(router).await,
    }
}

/// Waits until a peer has had a newer version for longer than a watch takes to deliver it.
async fn outdated(router: &Router) {
    loop {
        router.config_outdated.notified().await;
        tokio::time::sleep(MAX_VERSION_LAG).await;
        if router.is_behind_peers() {
            return;
        }
    }
}

fn adopt(router: &Router, object: &Object) {
    if object.name == CONFIG_NAME {
        adopt_source(router, &object.spec, "store");
    }
}

/// Adopts a configuration if it is valid and newer; otherwise the active one stays.
pub(super) fn adopt_source(router: &Router, source: &RawValue, from: &'static str) {
    let table = match decode_config(source) {
        Ok(table) => table,
        Err(e) => {
            if router.other_lines.allows() {
                spdlog::error!("config: rejected, keeping the active version", kv: {
                    from, why = e.to_string().as_str(), in_force = router.version()
                });
            }
            return;
        }
    };
    let mut config = router.config.write();
    let old = config.as_ref().map_or(0, |active| active.table.version);
    if table.version < old && router.other_lines.allows() {
        spdlog::warn!("config: ignoring an older version", kv: {
            version = table.version, in_force = old
        });
    }
    if table.version <= old {
        return;
    }
    spdlog::info!("config: adopted", kv: {
        version = table.version, before = old, from,
        routes = table.route_count(), since_start_ms = ms(router.started_at.elapsed())
    });
    let services = table.named_services();
    let max_head_bytes = table.limits.max_header_bytes;
    *config = Some(ActiveConfig {
        table: Arc::new(table),
        source: Arc::from(source.get()),
        adopted_at: Instant::now(),
    });
    drop(config);
    router.set_max_head_bytes(max_head_bytes);
    let joined = router
        .endpoints
        .lock()
        .name_services(services, Instant::now());
    if joined > 0 {
        spdlog::info!("endpoints: records of named services applied", kv: { count = joined });
    }
    router.capacity_changed.notify_waiters();
    router.endpoints_changed.notify_one();
}
