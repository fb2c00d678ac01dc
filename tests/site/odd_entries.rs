//! Entries of another writer among those of the endpoints in the store.

use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::json;

use super::support::Site;

/// How long an entry may take to read a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

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
