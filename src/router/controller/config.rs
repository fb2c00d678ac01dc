//! Keeps the operators' configuration up to date.

use pistachioyard_platform::{CONFIG_KIND, CONFIG_NAME, Object, StoreAnswerError, decode_config};

use super::jittered;
use super::watch_pace;
use crate::prelude::*;
use crate::router::log::ms;
use crate::router::store_client::StoreError;
use crate::router::{ActiveConfig, Router};

/// The pause after a failed call. Refused calls have a cost too, and peers supply the
/// configuration in the meantime.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Reads the configuration, then watches it for changes.
pub(super) async fn run(router: Arc<Router>) {
    let mut revision = None;
    loop {
        let step = match revision {
            None => read(&router).await,
            Some(after) => watch(&router, after).await,
        };
        match step {
            Ok(seen) => revision = Some(seen),
            Err(StoreError::Fault(StoreAnswerError::HistoryGone)) => {
                spdlog::warn!("config: watch history expired, reading the configuration again");
                revision = None;
            }
            Err(_) => {
                // The store may have dropped changes from its history since the failed watch.
                revision = None;
                tokio::time::sleep(jittered(RETRY_PAUSE)).await;
            }
        }
    }
}

async fn read(router: &Router) -> Result<u64, StoreError> {
    let page = router.store.list(CONFIG_KIND, false).await?;
    for object in &page.objects {
        adopt(router, object);
    }
    Ok(page.revision)
}

async fn watch(router: &Router, after: u64) -> Result<u64, StoreError> {
    let wait = watch_pace::wait_time(router, router.settings.config_limit);
    tokio::select! {
        page = router.store.watch(CONFIG_KIND, after, wait) => {
            let page = page?;
            for change in page.changes.iter().filter(|change| !change.deleted) {
                adopt(router, &change.object);
            }
            Ok(page.revision)
        }
        () = router.config_outdated.notified() => read(router).await,
    }
}

fn adopt(router: &Router, object: &Object) {
    if object.name == CONFIG_NAME {
        adopt_source(router, &object.spec, "store");
    }
}

/// Adopts a configuration if it is valid and newer; otherwise the active one stays.
pub(super) fn adopt_source(router: &Router, source: &serde_json::Value, from: &'static str) {
    let table = match decode_config(source) {
        Ok(table) => table,
        Err(e) => {
            spdlog::error!("config: rejected, keeping the active version", kv: {
                from, why = e.to_string().as_str(), in_force = router.version()
            });
            return;
        }
    };
    let mut config = router.config.write();
    let old = config.as_ref().map_or(0, |active| active.table.version);
    if table.version < old {
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
    *config = Some(ActiveConfig {
        table: Arc::new(table),
        source: Arc::new(source.clone()),
        adopted_at: Instant::now(),
    });
    drop(config);
    router.capacity_changed.notify_waiters();
    router.endpoints_changed.notify_one();
}
