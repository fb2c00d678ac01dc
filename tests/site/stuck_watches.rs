//! Watches of the store that hang at all entries at once, so that no entry tells another one of a
//! change.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use http::Method;
use pistachioyard_standins::{FaultKind, FaultRule, wait_until};
use serde_json::{Value, json};

use super::layout::Layout;
use super::support::Site;

/// How long an endpoint that leaves may still get requests; `drain_ms` in the settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// How long a configuration may take to be in force; `config_ms` in the settings.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// How long watches hang; longer than the limits and the longest wait of a watch together.
const HANG_MS: u64 = 12_000;
/// How long the store lets a watch wait before it cuts it off.
const CUT_AFTER_MS: u64 = 100;
/// The number of endpoints that are removed one after the other, half of them.
const REMOVALS: usize = 3;
/// Longer than the interval at which endpoints write their entries.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// The length of the silent outage of the store.
const OUTAGE: Duration = Duration::from_millis(3_300);
/// How long after a return of the store the limits hold; `settle_window_ms` of the operators.
const SETTLE_WINDOW: Duration = Duration::from_secs(3);
/// How long requests are sent after the limit.
const CHECK_TIME: Duration = Duration::from_secs(2);

impl Site {
    /// Makes an endpoint say in the store that it leaves, and checks that it gets no request later
    /// than the limit after that.
    pub(crate) async fn check_drain(&self) {
        let leaving = self.plain_endpoint();
        let name = &self.endpoints[leaving].process.name;
        self.control(leaving, "draining", Value::Null).await;
        let is_draining =
            || async { self.stored_spec("servers", name).await["state"] == "draining" };
        wait_until(Duration::from_secs(2), "the record", is_draining)
            .await
            .expect("the endpoint writes that it leaves");
        let limit = Instant::now() + DRAIN_LIMIT;
        tokio::time::sleep_until(limit.into()).await;
        let runs = self.count_endpoint_runs(leaving).await;
        while limit.elapsed() < CHECK_TIME {
            let entries = self.entries.iter().map(|entry| entry.caller_address());
            join_all(entries.map(|to| self.send_plain_batch(to))).await;
        }
        assert_eq!(self.count_endpoint_runs(leaving).await, runs);
    }

    fn plain_endpoints(&self) -> Vec<usize> {
        let indices = 0..self.endpoints.len();
        indices.filter(|n| self.endpoints[*n].is_plain).collect()
    }

    /// Removes an endpoint's entry from the store, and checks that it gets no request later than the
    /// limit after that.
    async fn check_removal(&self, gone: usize) {
        let path = format!("/objects/servers/{}", self.endpoints[gone].process.name);
        self.control(gone, "unlisted", Value::Null).await;
        // A write of the entry may be on its way.
        tokio::time::sleep(HEARTBEAT).await;
        let removed = self
            .call(self.store, Method::DELETE, &path, Value::Null)
            .await;
        assert_eq!(removed, Some(200));
        self.check_no_requests(gone).await;
    }

    /// Checks that an endpoint gets no request later than the limit after now.
    async fn check_no_requests(&self, endpoint: usize) {
        let limit = Instant::now() + DRAIN_LIMIT;
        let send = || {
            let entries = self.entries.iter().map(|entry| entry.caller_address());
            join_all(entries.map(|to| self.send_plain_batch(to)))
        };
        while Instant::now() < limit {
            send().await;
        }
        let runs = self.count_endpoint_runs(endpoint).await;
        while limit.elapsed() < CHECK_TIME {
            send().await;
        }
        assert_eq!(self.count_endpoint_runs(endpoint).await, runs);
    }

    async fn hang_watches(&self) {
        self.control_store("hang", json!({ "watches_ms": HANG_MS }))
            .await;
    }
}

/// Guards against requests to a leaving endpoint while the watches of all entries hang.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_request_after_the_limit_while_all_watches_hang() {
    let site = Site::start(2).await;
    site.hang_watches().await;
    site.check_drain().await;
}

/// Guards against an endpoint that is kept after its removal, since watches that the store cut off
/// are taken for an outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_endpoint_gets_no_request_after_the_limit_while_watches_are_cut_off() {
    let site = Site::start_with(Layout {
        entries: 4,
        plain_endpoints: 3,
        ..Layout::default()
    })
    .await;
    site.control_store("cut_watches", json!(CUT_AFTER_MS)).await;
    tokio::time::sleep(DRAIN_LIMIT).await;
    for gone in site.plain_endpoints().into_iter().take(REMOVALS) {
        site.check_removal(gone).await;
    }
}

/// Guards against waiting for a list that hangs as well, as on a connection that went silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_request_after_the_limit_while_watches_and_a_list_hang() {
    let site = Site::start(1).await;
    let hang = json!({ "watches_ms": HANG_MS, "kind": "servers", "lists": 1 });
    site.control_store("hang", hang).await;
    site.check_drain().await;
}

/// Guards against an older configuration in force while the watches of all entries hang.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_in_time_while_all_watches_hang() {
    let site = Site::start(2).await;
    // All entries begin their watches anew.
    site.adopt_config_with(|_| {}).await;
    site.hang_watches().await;
    let path = site.add_route().await.expect("the store accepts it");
    let deadline = Instant::now() + CONFIG_LIMIT;
    let served = site.entries.iter().map(|entry| {
        let left = deadline.saturating_duration_since(Instant::now());
        site.await_path(entry.caller_address(), &path, left)
    });
    assert_eq!(join_all(served).await, [true, true]);
}

/// Guards against calls of the last moments of a silent outage that are waited for after it.
#[tokio::test(flavor = "multi_thread")]
async fn limits_hold_after_an_outage_in_which_calls_are_never_answered() {
    let site = Site::start(2).await;
    let silent = FaultRule {
        from: None,
        to: Some(site.proxied_store),
        kind: FaultKind::CutToTarget,
    };
    for wait in [SETTLE_WINDOW, SETTLE_WINDOW * 2] {
        site.set_proxy_faults(std::slice::from_ref(&silent)).await;
        tokio::time::sleep(OUTAGE).await;
        site.set_proxy_faults(&[]).await;
        tokio::time::sleep(wait).await;
        let path = site.add_route().await.expect("the store accepts it");
        let deadline = Instant::now() + CONFIG_LIMIT;
        let served = site.entries.iter().map(|entry| {
            let left = deadline.saturating_duration_since(Instant::now());
            site.await_path(entry.caller_address(), &path, left)
        });
        assert_eq!(join_all(served).await, [true, true], "{wait:?}");
    }
    site.check_drain().await;
}
