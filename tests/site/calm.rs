//! Requests, the directory, metrics and configuration changes without faults.

use std::time::Duration;

use http::Method;
use pistachioyard_standins::wait_until;
use serde_json::Value;

use super::support::Site;

#[tokio::test(flavor = "multi_thread")]
async fn a_site_without_faults_serves_every_kind_of_request() {
    let mut site = Site::start(2).await;
    for entry in &site.entries {
        let to = entry.caller_address();
        site.check_stream(to).await.expect("the stream is complete");
        // `/feed/` is a stream of a service whose endpoints hold no layers.
        for path in ["/record/a", "/lookup/a", "/feed/a"] {
            site.check_plain(to, path)
                .await
                .result
                .expect("the request is answered");
        }
        let unconfigured = site
            .send_request(to, Method::GET, "/nowhere/", "x1", &[])
            .await;
        assert_eq!(unconfigured.expect("the request is answered").0, 404);
        let unknown_key = [("authorization", "Bearer no-such-key")];
        let headers = [unknown_key[0]];
        let result = site
            .client
            .send(Method::GET, to, "/lookup/a", &headers, "".into())
            .await;
        assert_eq!(result.expect("the request is answered").status, 401);
        let long = "x".repeat(40_000);
        let too_long = site
            .send_request(to, Method::GET, "/lookup/a", "x2", &[("x-long", &long)])
            .await;
        assert_eq!(too_long.expect("the request is answered").0, 431);
        let large = "x".repeat(100_001);
        let headers = [("authorization", "Bearer key-one")];
        let result = site
            .client
            .send(Method::POST, to, "/record/a", &headers, large.into())
            .await;
        assert_eq!(result.expect("the request is answered").status, 413);
    }
    directory_names_both_entries(&site).await;
    metrics_are_served(&site).await;
    added_routes_are_served(&mut site).await;
}

async fn directory_names_both_entries(site: &Site) {
    let directory = site.entries[0].directory_address();
    wait_until(
        Duration::from_secs(5),
        "both entries in the directory",
        || async {
            let path = "/resolve?name=site.example&region=here&zone=east";
            let result = site
                .client
                .send(Method::GET, directory, path, &[], "".into())
                .await;
            let answer: Value = result
                .expect("the request is answered")
                .json()
                .expect("the answer is JSON");
            let addresses = answer["addresses"].as_array().map_or(0, Vec::len);
            addresses == 2 && answer["ttl_s"].as_u64().is_some()
        },
    )
    .await
    .expect("the directory lists both entries");
}

async fn metrics_are_served(site: &Site) {
    let to = site.entries[0].metrics_address();
    let result = site
        .client
        .send(Method::GET, to, "/metrics", &[], "".into())
        .await;
    let text = String::from_utf8(result.expect("the request is answered").body.to_vec())
        .expect("the metrics are text");
    for name in [
        "router_requests_total",
        "router_request_seconds",
        "router_endpoints_usable",
    ] {
        assert!(text.contains(name), "{name} is missing from {text}");
    }
}

async fn added_routes_are_served(site: &mut Site) {
    let path = site
        .add_route()
        .await
        .expect("the store accepts the configuration");
    for entry in &site.entries {
        wait_until(Duration::from_secs(2), "the new route", || async {
            site.check_plain(entry.caller_address(), &path)
                .await
                .result
                .is_ok()
        })
        .await
        .expect("the new route is in force within 2 s");
    }
}
