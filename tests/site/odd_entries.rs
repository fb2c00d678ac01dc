//! Entries of another writer among those of the endpoints in the store.

use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::{Value, json};

use super::support::Site;

/// How long an entry may take to read a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two writes of entries; shorter than the endpoints' heartbeats.
const WRITE_INTERVAL: Duration = Duration::from_millis(40);
/// How often all kinds of requests are checked while entries are written.
const CHECKS: usize = 5;
/// Longer than the interval between two watches.
const WATCH_SETTLE_TIME: Duration = Duration::from_millis(900);

/// Returns entries that no reader may trip over.
fn odd_entries() -> Vec<String> {
    let entry = |name: &str, content: &str| {
        format!(r#"{{"metadata":{{"name":"{name}","revision":1}},"spec":{content}}}"#)
    };
    let deep = format!("{}1{}", "[".repeat(20_000), "]".repeat(20_000));
    vec![
        entry("deep", &deep),
        entry("large", r#"{"service":"records","slots":1e999}"#),
        entry(
            "port",
            r#"{"service":"records","address":"127.0.0.1:70000","zone":"east","slots":1,"state":"ready"}"#,
        ),
        "[[1e999]]".to_owned(),
    ]
}

/// One entry that cannot be read would hide all others.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_cannot_be_decoded_hide_no_endpoint() {
    let mut site = Site::start(2).await;
    let odd = json!(odd_entries());
    let set = site
        .call(site.store, Method::PUT, "/control/odd", odd)
        .await;
    assert_eq!(set, Some(200));
    // Changes are followed, and lists are read.
    let plain = site.endpoints.iter().position(|e| e.is_plain);
    let plain = plain.expect("there is a service without a pipeline");
    site.endpoints[plain].process.kill();
    site.endpoints[plain].process.start(&site.launcher);
    let name = site.endpoints[plain].process.name.clone();
    let line = format!("endpoints: changed {{ endpoint={name} news=Restarted");
    for entry in &site.entries {
        wait_until(CHANGE_TIMEOUT, "the restart to be read", || async {
            entry.process.log().contains(&line)
        })
        .await
        .expect("the changes are followed");
    }
    site.restart_entries();
    site.await_service().await;
    let outcome = site
        .check_plain(site.entries[0].caller_address(), "/lookup/a")
        .await;
    assert_eq!(outcome.result, Ok(()));
    for entry in &mut site.entries {
        assert!(entry.process.is_running());
    }
}

/// Guards against an entry of another writer that takes the place of the endpoint at its address,
/// though the configuration does not name its service.
#[tokio::test(flavor = "multi_thread")]
async fn entries_of_services_that_are_not_named_take_no_endpoint_away() {
    let mut site = Site::start(2).await;
    let mut probes = site.probes().await;
    for later_ms in [0, 1] {
        for (_, spec) in &mut probes {
            let born = spec["born"].as_u64().expect("it tells its start");
            spec["born"] = json!(born + later_ms);
        }
        let checks = async {
            tokio::time::sleep(WATCH_SETTLE_TIME).await;
            for _ in 0..CHECKS {
                check_service(&site, later_ms).await;
            }
        };
        // The endpoints write their own entries in between.
        tokio::select! {
            () = site.keep_writing(&probes) => {}
            () = checks => {}
        }
        // They are read before the configuration too.
        site.restart_entries();
        site.await_service().await;
        check_service(&site, later_ms).await;
    }
}

impl Site {
    /// Returns an entry for each endpoint, with its address and of a service that is not named.
    async fn probes(&self) -> Vec<(String, Value)> {
        let mut probes = Vec::new();
        for endpoint in &self.endpoints {
            let name = &endpoint.process.name;
            let mut spec = self.stored_spec("servers", name).await;
            spec["service"] = json!("probe");
            probes.push((format!("/objects/servers/{name}-probe"), spec));
        }
        probes
    }

    /// Writes entries again and again, each time changed.
    async fn keep_writing(&self, entries: &[(String, Value)]) {
        for sequence in 0_u64.. {
            for (path, spec) in entries {
                let mut spec = spec.clone();
                spec["sequence"] = json!(sequence);
                let body = json!({ "spec": spec });
                let written = self.call(self.store, Method::PUT, path, body).await;
                assert_eq!(written, Some(200));
            }
            tokio::time::sleep(WRITE_INTERVAL).await;
        }
    }
}

/// Checks that all entries serve requests of each kind.
async fn check_service(site: &Site, later_ms: u64) {
    for entry in &site.entries {
        let to = entry.caller_address();
        let stream = site.check_stream(to).await;
        assert_eq!(stream, Ok(()), "a stream, {later_ms} ms later");
        for path in ["/record/a", "/lookup/a", "/feed/a"] {
            let outcome = site.check_plain(to, path).await;
            assert_eq!(outcome.result, Ok(()), "{path}, {later_ms} ms later");
        }
    }
}
