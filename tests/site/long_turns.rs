//! Large inputs, which must not stop an entry's only thread for long.

use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::json;

use super::support::{Entry, Site};

/// The number of endpoints of the largest deployment; see `docs/CAPACITY.md`.
const ENDPOINTS: usize = 10_000;
/// The number of records that are written at a time.
const WRITES_AT_ONCE: usize = 50;
/// How long an entry may take to read all records.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// How long the entries may take to list all records again.
const LIST_TIME: Duration = Duration::from_secs(3);
/// How long an entry may be silent; `stall_ms` in the settings.
const STALL_LIMIT: Duration = Duration::from_millis(2_500);

impl Site {
    /// Registers endpoints that do not listen.
    async fn register_many(&self, count: usize) {
        let numbers: Vec<usize> = (0..count).collect();
        for some in numbers.chunks(WRITES_AT_ONCE) {
            let writes = some.iter().map(|n| async move {
                let spec = json!({
                    "service": "records", "address": format!("127.77.{}.{}:9", n / 256, n % 256),
                    "zone": "east", "version": "v1", "slots": 16, "state": "ready",
                    "cold_remaining_ms": 0, "sequence": 1, "born": 1,
                });
                let path = format!("/objects/servers/many-{n}");
                let body = json!({ "spec": spec });
                self.call(self.store, Method::PUT, &path, body).await
            });
            let statuses = join_all(writes).await;
            assert!(statuses.iter().all(|s| *s == Some(200)), "{statuses:?}");
        }
    }

    async fn read_gauge(&self, entry: &Entry, name: &str) -> f64 {
        let metrics = self.fetch_metrics(entry).await;
        let mut lines = metrics.lines().filter_map(|line| line.split_once(' '));
        let (_, value) = lines
            .find(|(metric, _)| *metric == name)
            .expect("the entry has the metric");
        value.parse().expect("the metric is a number")
    }

    async fn await_endpoints(&self, is_reached: impl Fn(usize) -> bool) {
        for entry in &self.entries {
            wait_until(READ_TIMEOUT, "the endpoints", || async {
                is_reached(self.read_gauge(entry, "router_endpoints_known").await as usize)
            })
            .await
            .expect("the entry follows the store");
        }
    }

    /// Asserts that no entry has been silent for longer than the limit.
    async fn assert_short_turns(&self, what: &str) {
        for entry in &self.entries {
            let longest = self.read_gauge(entry, "router_longest_turn_seconds").await;
            let log = entry.process.log();
            let turns: Vec<&str> = log.lines().filter(|l| l.contains("long turn")).collect();
            assert!(
                longest < STALL_LIMIT.as_secs_f64(),
                "{what}: {longest} s {turns:?}"
            );
        }
    }
}

/// Guards against an entry that answers nobody while it reads what it knows already.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_goes_on_while_it_reads_the_largest_list_of_endpoints() {
    let mut site = Site::start(2).await;
    // Watches of the stand-in hold fewer changes than that.
    for entry in &mut site.entries {
        entry.process.kill();
    }
    site.register_many(ENDPOINTS).await;
    site.restart_entries();
    site.await_service().await;
    site.await_endpoints(|known| known > ENDPOINTS).await;
    site.assert_short_turns("listed").await;
    site.control_store("copy", json!({})).await;
    site.control_store("restore", json!({})).await;
    tokio::time::sleep(LIST_TIME).await;
    site.assert_short_turns("listed after the store's return")
        .await;
    site.set_store_fault(503).await;
    let last = site.entries.last_mut().expect("there are entries");
    last.process.kill();
    last.process.start(&site.launcher);
    site.await_service().await;
    site.assert_short_turns("read from a peer").await;
    site.set_store_fault(0).await;
    tokio::time::sleep(LIST_TIME).await;
    site.control_store("copy", json!({ "without": ["servers"] }))
        .await;
    site.control_store("restore", json!({})).await;
    site.await_endpoints(|known| known < ENDPOINTS).await;
    site.assert_short_turns("deleted").await;
}
