//! Lists of the store whose decoded values would be many times their size.

use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::json;

use super::layout::Layout;
use super::memory::{MACHINE_BYTES, check_peak};
use super::support::Site;

/// The size of a list that is within the limit for answers of the store, in bytes.
const LIST_BYTES: usize = 7_500_000;
/// The number of endpoints of a fleet in two years (`docs/CAPACITY.md`).
const FLEET_ENDPOINTS: usize = 10_000;
/// How long an entry may take to read the list.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The line that tells that objects of the list were skipped.
const SKIPPED: &str = "store: ignoring objects that cannot be decoded";

/// The line that tells that a configuration is in force.
const ADOPTED: &str = "config: adopted";

/// Returns a list of values, separated by commas, of almost the largest size.
fn many(value: &str) -> String {
    vec![value; LIST_BYTES / (value.len() + 1)].join(",")
}

/// Starts a site with the smallest machine.
pub(super) async fn start() -> Site {
    Site::start_with(Layout {
        memory_mb: Some(MACHINE_BYTES / 1_000_000),
        ..Layout::default()
    })
    .await
}

/// Checks that the first entry stayed within its machine's memory and serves.
async fn check_serves(site: &Site) {
    check_peak(site);
    let to = site.entries[0].caller_address();
    let outcome = site.check_plain(to, "/lookup/a").await;
    assert_eq!(outcome.result, Ok(()));
}

/// Checks an entry that reads these objects beside those of the endpoints; `is_logged` says whether
/// it skips some.
async fn check_list(odd: Vec<String>, is_logged: bool) {
    let mut site = start().await;
    let set = site
        .call(site.store, Method::PUT, "/control/odd", json!(odd))
        .await;
    assert_eq!(set, Some(200));
    site.restart_entries();
    site.await_service().await;
    if is_logged {
        wait_until(TIMEOUT, "the list", || async {
            site.entries[0].process.log().contains(SKIPPED)
        })
        .await
        .expect("the list is read");
    }
    check_serves(&site).await;
    assert!(site.entries[0].process.is_running());
}

/// Guards against fields that no reader needs and that take a hundred times their size as values.
#[tokio::test(flavor = "multi_thread")]
async fn an_object_of_many_small_values_does_not_fill_the_memory() {
    let spec = format!(r#"{{"extra":[{}]}}"#, many(r#"{"":0}"#));
    let odd = format!(r#"{{"metadata":{{"name":"odd","revision":1}},"spec":{spec}}}"#);
    check_list(vec![odd], false).await;
}

/// Guards against items without number, of which each is refused with a reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_of_many_small_items_does_not_fill_the_memory() {
    check_list(vec![many("0")], true).await;
}

/// Guards against a configuration that is kept as values, and twice while it is adopted.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_of_many_small_values_does_not_fill_the_memory() {
    let site = start().await;
    let count = || site.entries[0].process.log().matches(ADOPTED).count();
    let earlier = count();
    let extra = json!(vec![0; LIST_BYTES / 2]);
    let accepted = site.apply_config_with(|spec| spec["extra"] = extra).await;
    assert!(accepted, "the store accepts the configuration");
    // It is larger than the store's limit for values, so the limit for changes does not hold for it.
    wait_until(TIMEOUT, ADOPTED, || async { count() > earlier })
        .await
        .expect("the configuration is adopted");
    check_serves(&site).await;
}

/// Guards against lists of a large fleet that take many times their size as values.
#[tokio::test(flavor = "multi_thread")]
async fn the_list_of_a_large_fleet_does_not_fill_the_memory() {
    let record = |n: usize| {
        format!(
            r#"{{"metadata":{{"name":"far-{n}","revision":1}},"spec":{{"service":"far",
            "address":"127.0.0.1:9","zone":"west","slots":8,"state":"ready","version":"1",
            "cold_remaining_ms":0.0,"sequence":{n},"born":1,"pace":1.0,"queued":0,"active":0,
            "kind":"small","busy":false,"layers":{{"from":0,"to":4}},"stalled":[]}}}}"#
        )
    };
    check_list((0..FLEET_ENDPOINTS).map(record).collect(), false).await;
}
