//! The store starts again with nothing.

use futures_util::future::join_all;
use pistachioyard_standins::FaultKind;
use serde_json::json;

use super::super::support::Site;
use super::{PART_DELAY, Part};

/// The number of changes that a store has had before it starts again.
const EARLIER_CHANGES: usize = 2_000;

/// Starts the store of a site again, with nothing, and checks that the entries follow what the
/// operator and the endpoints write then, whose revisions are lower than those before.
async fn restart_store_empty(restarts_entries: bool, entries_come_last: bool) {
    let parts = [Part::Store, Part::Config, Part::Endpoints, Part::Entries];
    let mut site = Site::start_parts(&parts).await;
    site.raise_revision(EARLIER_CHANGES).await;
    site.check_recovery("before the store starts again").await;
    site.store_process.kill();
    if entries_come_last {
        site.set_store_cut(Some(FaultKind::Cut)).await;
    }
    tokio::time::sleep(PART_DELAY).await;
    if restarts_entries {
        site.restart_entries();
    }
    site.start_store().await;
    tokio::time::sleep(PART_DELAY).await;
    assert!(site.apply_config().await, "the store accepts it");
    site.set_store_cut(None).await;
    site.check_recovery("an empty store").await;
    site.check_drain().await;
}

/// Guards against an entry that serves no more, or ignores the records of endpoints, since the
/// revisions of a store begin anew.
#[tokio::test(flavor = "multi_thread")]
async fn entries_follow_a_store_that_starts_again_empty() {
    restart_store_empty(false, false).await;
}

/// Guards against the same in entries that know nothing of the earlier revisions.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_start_again_follow_a_store_that_starts_again_empty() {
    restart_store_empty(true, false).await;
}

/// Guards against the same in entries that see no store without endpoints.
#[tokio::test(flavor = "multi_thread")]
async fn entries_follow_a_store_that_has_filled_again_before_they_reach_it() {
    restart_store_empty(false, true).await;
}

/// Guards against an entry that refuses all answers of a store that has started again, since they
/// name an earlier era than those before.
#[tokio::test(flavor = "multi_thread")]
async fn entries_follow_a_store_that_starts_again_in_an_earlier_era() {
    join_all([false, true].map(|restarts_entries| async move {
        let parts = [Part::Store, Part::Config, Part::Endpoints, Part::Entries];
        let mut site = Site::start_parts(&parts).await;
        site.control_store("copy", json!({})).await;
        site.control_store("restore", json!({})).await;
        site.check_recovery("before the store starts again").await;
        site.start_store().await;
        if restarts_entries {
            site.entries[1].process.kill();
            let launcher = site.launcher.clone();
            site.entries[1].process.start(&launcher);
        }
        tokio::time::sleep(PART_DELAY).await;
        assert!(site.apply_config().await, "the store accepts it");
        let what = format!("an earlier era, an entry restarted: {restarts_entries}");
        site.check_recovery(&what).await;
        site.check_drain().await;
    }))
    .await;
}
