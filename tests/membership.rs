//! Tests the membership of more entries than a single entry dials.

use std::time::Duration;

use pistachioyard_standins::{Cluster, ClusterPlan, ClusterSize, Deployment, wait_until};
use pistachioyard_wire::EntryState;

/// The number of entries, which is well above the number of peers that an entry dials.
const ENTRIES: usize = 16;
const TIMEOUT: Duration = Duration::from_secs(30);

async fn wait_for_live(cluster: &Cluster, index: usize, live: usize) {
    let entry = &cluster.entries[index];
    let what = format!("{} to see {live} live entries", entry.name);
    wait_until(TIMEOUT, &what, || async {
        cluster.status(entry.caller).await.is_ok_and(|status| {
            let entries = status.entries.iter();
            entries.filter(|e| e.state == EntryState::Live).count() == live
        })
    })
    .await
    .expect("entries learn of each other by gossip");
}

#[tokio::test]
async fn an_entry_that_joins_when_all_links_are_in_use_learns_of_all_others() {
    let mut plan = ClusterPlan::new(Deployment::CradleCount, ClusterSize::Small);
    plan.entries = ENTRIES;
    plan.engines.clear();
    plan.services = 0;
    let mut cluster = Cluster::start_without_config(plan).await.unwrap();
    // Two entries are restarted, one after the other. While one is down, the rest fill their links
    // with each other, so that their links are in use when it comes back.
    for restarted in [0, ENTRIES - 1] {
        cluster.entries[restarted].child.kill().unwrap();
        for other in (0..ENTRIES).filter(|other| *other != restarted) {
            wait_for_live(&cluster, other, ENTRIES - 1).await;
        }
        cluster.restart_entry(restarted).await.unwrap();
        for entry in 0..ENTRIES {
            wait_for_live(&cluster, entry, ENTRIES).await;
        }
    }
}
