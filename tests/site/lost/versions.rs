//! Requests that wait, run or stream while the configuration or the settings file changes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

use super::{DEADLINE_MS, ONE_PATH, start_site};
use crate::caller::{Failure, new_request_id};
use crate::raw::{Exchange, RawConnection};
use crate::support::Site;

/// The number of requests of each kind that are in progress at the change.
const REQUESTS: usize = 20;
/// The time in which all of them have begun.
const START_TIME: Duration = Duration::from_millis(300);
/// How long an operation runs, in milliseconds.
const OPERATION_MS: &str = "1200";
/// How long a look-up runs, in milliseconds; shorter than the time after which it is sent to
/// another endpoint.
const LOOK_UP_MS: &str = "600";
/// The number of requests that arrive one after the other beside the change.
const LATER_REQUESTS: u32 = 200;
/// The time between two of them.
const LATER_INTERVAL: Duration = Duration::from_millis(5);
/// The timeout of the routes before the change, in milliseconds.
const TIMEOUT_MS: u64 = 6_000;

/// Adds a route to a service without endpoints, at which requests wait.
fn add_waiting_route(spec: &mut Value) {
    let routes = spec["routes"].as_array_mut().expect("there are routes");
    let mut waiting = routes
        .iter()
        .find(|route| route["path_prefix"] == "/lookup/")
        .expect("there is a route of look-ups")
        .clone();
    waiting["name"] = json!("waiting");
    waiting["path_prefix"] = json!("/waiting/");
    waiting["service"] = json!("empty");
    routes.push(waiting);
    for route in routes {
        route["timeout_ms"] = json!(TIMEOUT_MS);
    }
    let services = spec["services"].as_array_mut().expect("there are services");
    services.push(json!({ "name": "empty", "max_connections": 100 }));
}

async fn exchange(to: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Exchange {
    let mut connection = RawConnection::open(to).await;
    if !connection.write(path, &new_request_id(), headers).await {
        return Exchange::Cut("the request was not read".to_owned());
    }
    connection.read().await
}

/// Starts a site with requests of every kind in progress, lets `disturb` change it, and checks
/// that those are answered and that later ones have a complete answer.
async fn check_requests_beside(disturb: impl AsyncFnOnce(&Site)) {
    let site = &start_site(ONE_PATH).await;
    site.adopt_config_with(add_waiting_route).await;
    let to = site.entries[0].caller_address();
    let headers = [("x-deadline-ms", DEADLINE_MS)];
    let streams = join_all((0..REQUESTS).map(|_| async {
        site.check_stream_with(to, &new_request_id(), &headers)
            .await
    }));
    let operations =
        join_all((0..REQUESTS).map(|_| exchange(to, "/record/a", &[("X-Run-Ms", OPERATION_MS)])));
    let look_ups =
        join_all((0..REQUESTS).map(|_| exchange(to, "/lookup/a", &[("X-Run-Ms", LOOK_UP_MS)])));
    let waiting = join_all((0..REQUESTS).map(|_| exchange(to, "/waiting/a", &[])));
    let later = join_all((0..LATER_REQUESTS).map(|n| async move {
        tokio::time::sleep(LATER_INTERVAL * n).await;
        let path = ["/record/b", "/lookup/b", "/waiting/b"][n as usize % 3];
        exchange(to, path, &[]).await
    }));
    let disturb = async {
        tokio::time::sleep(START_TIME).await;
        disturb(site).await;
    };
    let (streams, operations, look_ups, waiting, later, ()) =
        tokio::join!(streams, operations, look_ups, waiting, later, disturb);
    let cut: Vec<&Failure> = streams
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    assert!(cut.is_empty(), "streams in progress: {cut:?}");
    for (kind, answers) in [("operations", &operations), ("look-ups", &look_ups)] {
        let failed: Vec<&Exchange> = answers
            .iter()
            .filter(|answer| !matches!(answer, Exchange::Complete(200, _)))
            .collect();
        assert!(failed.is_empty(), "{kind} in progress: {failed:?}");
    }
    for (kind, answers) in [("waiting", &waiting), ("later", &later)] {
        let cut: Vec<&Exchange> = answers
            .iter()
            .filter(|answer| matches!(answer, Exchange::Cut(_)))
            .collect();
        assert!(cut.is_empty(), "{kind} requests: {cut:?}");
    }
}

/// Applies a version without some routes and with changes of the others.
async fn change_routes(site: &Site, is_kept: impl Fn(&Value) -> bool, change: impl Fn(&mut Value)) {
    site.adopt_config_with(|spec| {
        add_waiting_route(spec);
        let routes = spec["routes"].as_array_mut().expect("there are routes");
        routes.retain(|route| is_kept(route));
        routes.iter_mut().for_each(change);
    })
    .await;
}

/// Requests end without an answer when their key is removed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_their_key_is_removed() {
    check_requests_beside(async |site| {
        site.adopt_config_with(|spec| {
            add_waiting_route(spec);
            spec["tenants"][0]["api_keys"] = json!(["key-two"]);
        })
        .await;
    })
    .await;
}

/// Requests end without an answer when their routes are removed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_their_routes_are_removed() {
    check_requests_beside(async |site| {
        let is_kept = |route: &Value| route["path_prefix"] == "/feed/";
        change_routes(site, is_kept, |_| {}).await;
    })
    .await;
}

/// Requests end without an answer when their service is removed.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_their_services_are_removed() {
    check_requests_beside(async |site| {
        site.adopt_config_with(|spec| {
            add_waiting_route(spec);
            for route in spec["routes"].as_array_mut().expect("there are routes") {
                route["service"] = json!("empty");
            }
            let services = spec["services"].as_array_mut().expect("there are services");
            services.retain(|service| service["name"] == "empty");
        })
        .await;
    })
    .await;
}

/// Requests end without an answer when their routes move to another service.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_their_routes_move_to_another_service() {
    check_requests_beside(async |site| {
        change_routes(
            site,
            |_| true,
            |route| {
                let is_waiting = route["service"] == "empty";
                route["service"] = json!(if is_waiting { "records" } else { "empty" });
            },
        )
        .await;
    })
    .await;
}

/// Requests end without an answer when a version shortens their timeout.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_their_timeout_is_shortened() {
    check_requests_beside(async |site| {
        change_routes(site, |_| true, |route| route["timeout_ms"] = json!(600)).await;
    })
    .await;
}

/// Requests end without an answer when a version lengthens their timeout.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_their_timeout_is_lengthened() {
    check_requests_beside(async |site| {
        change_routes(site, |_| true, |route| route["timeout_ms"] = json!(30_000)).await;
    })
    .await;
}

/// Requests end without an answer when the settings file changes, before and after SIGHUP.
#[tokio::test(flavor = "multi_thread")]
async fn requests_go_on_when_the_settings_file_changes() {
    check_requests_beside(async |site| {
        let process = &site.entries[0].process;
        let file = process.args.last().expect("the file is an argument");
        let settings = std::fs::read_to_string(file).expect("the file can be read");
        let changed = settings.replace("budget_slack = 200", "budget_slack = 10");
        assert_ne!(changed, settings);
        for text in [changed.as_str(), "node = 1\nnot settings"] {
            std::fs::write(file, text).expect("the file can be written");
            process.signal(Signal::SIGHUP);
            tokio::time::sleep(START_TIME).await;
        }
        let log = process.log();
        assert!(log.contains("settings file is valid"), "{log}");
        assert!(log.contains("cannot load the settings file"), "{log}");
    })
    .await;
}
