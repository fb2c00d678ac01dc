//! Membership of more entries than one of them dials.

use std::time::Duration;

use pistachioyard_standins::{Cluster, ClusterPlan, ClusterSize, Deployment, wait_until};
use pistachioyard_wire::EntryState;

/// Clearly more than the peers that an entry dials.
const ENTRIES: usize = 16;
const TIMEOUT: Duration = Duration::from_secs(30);

async fn wait_for_live(cluster: &Cluster, place: usize, live: usize) {
    let entry = &cluster.entries[place];
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
async fn an_entry_that_joins_when_all_links_are_taken_learns_of_all_others() {
    let mut plan = ClusterPlan::new(Deployment::CradleCount, ClusterSize::Small);
    plan.entries = ENTRIES;
    plan.engines.clear();
    plan.services = 0;
    let mut cluster = Cluster::start_without_config(plan).await.unwrap();
    // Two are replaced, one after the other; meanwhile the rest link to each other.
    for place in [0, ENTRIES - 1] {
        cluster.entries[place].child.kill().unwrap();
        for other in (0..ENTRIES).filter(|other| *other != place) {
            wait_for_live(&cluster, other, ENTRIES - 1).await;
        }
        cluster.restart_entry(place).await.unwrap();
        for entry in 0..ENTRIES {
            wait_for_live(&cluster, entry, ENTRIES).await;
        }
    }
}
