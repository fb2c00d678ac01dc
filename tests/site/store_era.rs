//! The store comes back from an older copy: what was written since is gone, and its revisions
//! are given out again.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::{Value, json};

use super::support::{Entry, Site};

/// The time within which a change must be known; the sum of the bound on a change of the
/// configuration and of what a busy machine adds.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longer than a heartbeat and the interval between two watches together.
const WATCH_SETTLE_TIME: Duration = Duration::from_millis(900);

impl Site {
    /// Writes objects that no entry reads.
    pub(crate) async fn raise_revision(&self, count: usize) {
        for n in 0..count {
            let body = json!({ "spec": n });
            let status = self
                .call(self.store, Method::PUT, "/objects/notes/n", body)
                .await;
            assert_eq!(status, Some(200));
        }
    }

    /// Returns the content of an object in the store; null if there is none.
    pub(crate) async fn stored_spec(&self, kind: &str, name: &str) -> Value {
        let path = format!("/objects/{kind}/{name}");
        let object = self.client.get_json::<Value>(self.store, &path).await;
        object.map_or(Value::Null, |object| object["spec"].clone())
    }

    /// Waits until the lease has the given holder, and returns its fencing token.
    async fn await_lease(&self, holder: &str) -> u64 {
        wait_until(Duration::from_secs(12), "the lease", || async {
            self.stored_spec("leases", "placement").await["holder"] == holder
        })
        .await
        .expect("the entry takes the lease");
        let lease = self.stored_spec("leases", "placement").await;
        lease["fence"].as_u64().expect("the lease has a token")
    }

    /// Restarts an entry after the other one has taken the lease, and returns the new token.
    async fn move_lease(&mut self, from: usize, to: usize) -> u64 {
        self.entries[from].process.kill();
        let holder = self.entries[to].process.name.clone();
        let fence = self.await_lease(&holder).await;
        let launcher = self.launcher.clone();
        self.entries[from].process.start(&launcher);
        self.await_service().await;
        self.await_live_entries(2).await;
        fence
    }

    /// Starts a site of two entries, the second of which holds the lease with the returned
    /// token, and a copy of whose store lacks the lease.
    async fn start_with_lease_after_the_copy() -> (Self, u64) {
        let mut site = Self::start(2).await;
        if site.stored_spec("leases", "placement").await["holder"] == "entry-1" {
            site.move_lease(1, 0).await;
        }
        site.control_store("copy", json!({ "without": ["leases"] }))
            .await;
        let fence = site.move_lease(0, 1).await;
        (site, fence)
    }

    pub(crate) async fn await_path(&self, to: SocketAddr, path: &str, timeout: Duration) -> bool {
        let path = format!("{path}a");
        let served = || async { self.check_plain(to, &path).await.result.is_ok() };
        wait_until(timeout, "a route", served).await.is_ok()
    }

    async fn await_known_endpoints(&self, entry: &Entry, count: usize) -> bool {
        let expected = format!("router_endpoints_known {count}");
        let has_count = || async {
            let metrics = self.fetch_metrics(entry).await;
            metrics.lines().any(|line| line == expected)
        };
        let waited = wait_until(Duration::from_secs(6), "the endpoints", has_count).await;
        waited.is_ok()
    }

    /// Returns what the endpoints with layers answer at a path, by their index.
    async fn model_reports(&self, path: &str) -> Vec<(usize, Value)> {
        let mut reports = Vec::new();
        let endpoints = self.endpoints.iter().enumerate();
        for (index, endpoint) in endpoints.filter(|(_, endpoint)| !endpoint.is_plain) {
            let report = self.client.get_json(endpoint.address, path).await;
            reports.push((index, report.unwrap_or(Value::Null)));
        }
        reports
    }

    async fn endpoint_lists(&self) -> u64 {
        let lists = self
            .client
            .get_json::<Value>(self.store, "/control/lists")
            .await
            .expect("the store answers");
        lists["servers"].as_u64().unwrap_or_default()
    }
}

/// A configuration is adopted although the watch continues from a revision that the store has
/// given out again in the meantime.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_under_a_reused_revision_is_adopted() {
    let site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    site.control_store("copy", json!({})).await;
    site.raise_revision(60).await;
    let path = site.add_route().await.expect("the store accepts it");
    assert!(site.await_path(to, &path, CHANGE_TIMEOUT).await);
    site.control_store("restore", json!({ "watches_wait_ms": 800 }))
        .await;
    let path = site.add_route().await.expect("the store accepts it");
    site.raise_revision(200).await;
    assert!(site.await_path(to, &path, CHANGE_TIMEOUT).await);
}

/// An older configuration from the copy does not replace the adopted one.
#[tokio::test(flavor = "multi_thread")]
async fn the_configuration_does_not_go_back_with_the_copy() {
    let site = Site::start(2).await;
    site.control_store("copy", json!({})).await;
    let newer = site.add_route().await.expect("the store accepts it");
    for entry in &site.entries {
        let to = entry.caller_address();
        assert!(site.await_path(to, &newer, CHANGE_TIMEOUT).await);
    }
    let restore = json!({ "away_ms": 700, "silent": true });
    site.control_store("restore", restore).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for entry in &site.entries {
        let to = entry.caller_address();
        let outcome = site.check_plain(to, &format!("{newer}a")).await;
        assert_eq!(outcome.result, Ok(()));
    }
    let newest = site.add_route().await.expect("the store accepts it");
    for entry in &site.entries {
        let to = entry.caller_address();
        assert!(site.await_path(to, &newest, CHANGE_TIMEOUT).await);
    }
}

/// An entry that starts after a return takes the newer configuration of its peer instead of the
/// one that the copy has.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_on_the_copy_takes_its_peers_configuration() {
    let mut site = Site::start(2).await;
    site.control_store("copy", json!({})).await;
    let newer = site.add_route().await.expect("the store accepts it");
    for entry in &site.entries {
        let to = entry.caller_address();
        assert!(site.await_path(to, &newer, CHANGE_TIMEOUT).await);
    }
    site.control_store("restore", json!({})).await;
    site.entries[1].process.kill();
    let launcher = site.launcher.clone();
    site.entries[1].process.start(&launcher);
    site.await_service().await;
    let to = site.entries[1].caller_address();
    assert!(site.await_path(to, &newer, CHANGE_TIMEOUT).await);
}

/// An endpoint that died while the store went back to before it registered is dropped, although
/// the revisions have passed the one from which the watch continues.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_the_copy_lacks_is_dropped_after_the_grace_period() {
    let mut site = Site::start(1).await;
    let all = site.endpoints.len();
    let lost = all - 1;
    site.endpoints[lost].process.kill();
    let path = format!("/objects/servers/{}", site.endpoints[lost].process.name);
    let deleted = site.call(site.store, Method::DELETE, &path, Value::Null);
    assert_eq!(deleted.await, Some(200));
    assert!(site.await_known_endpoints(&site.entries[0], all - 1).await);
    site.control_store("copy", json!({})).await;
    site.raise_revision(60).await;
    let launcher = site.launcher.clone();
    site.endpoints[lost].process.start(&launcher);
    assert!(site.await_known_endpoints(&site.entries[0], all).await);
    tokio::time::sleep(WATCH_SETTLE_TIME).await;
    site.endpoints[lost].process.kill();
    site.control_store("restore", json!({ "watches_wait_ms": 700 }))
        .await;
    site.raise_revision(200).await;
    assert!(site.await_known_endpoints(&site.entries[0], all - 1).await);
}

/// An endpoint whose record is missing after a return stays in use until it has had time to
/// write the record again.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_that_the_copy_lacks_are_kept_until_they_write_again() {
    let mut site = Site::start(1).await;
    let to = site.entries[0].caller_address();
    site.control_store("copy", json!({ "without": ["servers"] }))
        .await;
    tokio::time::sleep(WATCH_SETTLE_TIME).await;
    let late = site.endpoints.last_mut().expect("the site has endpoints");
    late.process
        .running_child()
        .freeze()
        .expect("the signal is sent");
    site.control_store("restore", json!({})).await;
    // Within the two seconds that endpoints may take to write again.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let late = site.endpoints.last_mut().expect("the site has endpoints");
    late.process
        .running_child()
        .thaw()
        .expect("the signal is sent");
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(site.check_plain(to, "/lookup/a").await.result, Ok(()));
    let log = site.entries[0].process.running_child().log();
    let removed: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("is_removed=true") || line.contains("grace period over"))
        .collect();
    assert!(removed.is_empty(), "{removed:#?}");
}

/// A record of an endpoint's earlier run, which the copy brings back, is not taken for a restart,
/// after which a crash would count against its requests once more.
#[tokio::test(flavor = "multi_thread")]
async fn a_record_of_an_earlier_run_in_the_copy_is_ignored() {
    let mut site = Site::start(1).await;
    site.control_store("copy", json!({})).await;
    let launcher = site.launcher.clone();
    let restarted = site.endpoints.last_mut().expect("the site has endpoints");
    restarted.process.start(&launcher);
    tokio::time::sleep(2 * WATCH_SETTLE_TIME).await;
    let restarted = site.endpoints.last_mut().expect("the site has endpoints");
    let child = restarted.process.running_child();
    child.freeze().expect("the signal is sent");
    site.control_store("restore", json!({})).await;
    tokio::time::sleep(WATCH_SETTLE_TIME).await;
    let restarted = site.endpoints.last_mut().expect("the site has endpoints");
    let child = restarted.process.running_child();
    child.thaw().expect("the signal is sent");
    tokio::time::sleep(2 * WATCH_SETTLE_TIME).await;
    let log = site.entries[0].process.running_child().log();
    let restarts = log.lines().filter(|line| line.contains("news=Restarted"));
    assert_eq!(restarts.count(), 1, "{log}");
    site.await_service().await;
}

/// An entry whose peer has seen higher revisions of the earlier era does not list all records
/// over and over.
#[tokio::test(flavor = "multi_thread")]
async fn revisions_of_the_earlier_era_do_not_cause_endless_lists() {
    let mut site = Site::start(2).await;
    site.control_store("copy", json!({})).await;
    site.raise_revision(3_000).await;
    tokio::time::sleep(WATCH_SETTLE_TIME).await;
    site.control_store("restore", json!({})).await;
    tokio::time::sleep(WATCH_SETTLE_TIME).await;
    site.entries[1].process.kill();
    let launcher = site.launcher.clone();
    site.entries[1].process.start(&launcher);
    site.await_service().await;
    tokio::time::sleep(WATCH_SETTLE_TIME).await;
    let before = site.endpoint_lists().await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let lists = site.endpoint_lists().await - before;
    assert!(lists <= 1, "{lists} lists in five seconds");
}

/// A lease that is taken again after a return has a higher fencing token than all before, since
/// endpoints refuse orders with a lower one.
#[tokio::test(flavor = "multi_thread")]
async fn the_fencing_token_does_not_go_back_with_the_copy() {
    let (site, seen) = Site::start_with_lease_after_the_copy().await;
    site.control_store("restore", json!({})).await;
    wait_until(Duration::from_secs(6), "a lease", || async {
        !site.stored_spec("leases", "placement").await.is_null()
    })
    .await
    .expect("the lease is taken again");
    let lease = site.stored_spec("leases", "placement").await;
    assert!(lease["fence"].as_u64() > Some(seen), "{seen}, then {lease}");
}

/// Layers are placed again after a return that took the lease, on endpoints that have begun
/// orders under a later one than the copy's.
#[tokio::test(flavor = "multi_thread")]
async fn lost_layers_are_placed_again_after_a_return_that_took_the_lease() {
    let (mut site, fence) = Site::start_with_lease_after_the_copy().await;
    let launcher = site.launcher.clone();
    for endpoint in site.endpoints.iter_mut().filter(|e| !e.is_plain) {
        endpoint.process.start(&launcher);
    }
    wait_until(Duration::from_secs(10), "all orders", || async {
        let reports = site.model_reports("/control/fence").await;
        reports.iter().all(|(_, seen)| seen.as_u64() >= Some(fence))
    })
    .await
    .expect("every endpoint gets an order");
    site.await_service().await;
    site.control_store("restore", json!({})).await;
    for (index, report) in site.model_reports("/report").await {
        if report["layers"]["from"] == 0 {
            site.endpoints[index].process.kill();
        }
    }
    for entry in &site.entries {
        let to = entry.caller_address();
        wait_until(Duration::from_secs(10), "a stream", || async {
            site.check_stream(to).await.is_ok()
        })
        .await
        .expect("streams are served");
    }
}

/// Entries that the copy lacks register again soon, so that new entries find them.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_the_copy_lacks_register_again_soon() {
    let site = Site::start(3).await;
    site.control_store("copy", json!({ "without": ["entries"] }))
        .await;
    // Long enough for the entries to look at their registrations at the longest intervals only.
    tokio::time::sleep(Duration::from_secs(4)).await;
    site.control_store("restore", json!({})).await;
    wait_until(Duration::from_millis(1_500), "registrations", || async {
        let list = site
            .client
            .get_json::<Value>(site.store, "/objects/entries")
            .await;
        list.is_ok_and(|list| list["items"].as_array().map(Vec::len) == Some(3))
    })
    .await
    .expect("all entries register again");
}
