//! Tests the lookup of routes, services and workspaces.

use std::sync::Arc;
use std::time::Duration;

use pistachioyard_policy::{CallerLimits, Repeatability, Route, RouteTable, Workspace};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn route(name: &str, prefix: &str, services: &[(&str, f64)]) -> Route {
    Route {
        name: name.into(),
        host: "here".into(),
        path_prefix: prefix.into(),
        repeatability: Repeatability::Idempotent,
        is_stream: false,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(150),
        gap_target: None,
        priority: 1,
        max_attempts: 2,
        is_anonymous: false,
        services: services
            .iter()
            .map(|(name, weight)| ((*name).try_into().expect("the name is valid"), *weight))
            .collect(),
    }
}

fn table() -> RouteTable {
    let limits = CallerLimits {
        max_header_bytes: 1_000,
        max_body_bytes: 1_000,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    let routes = vec![
        route("short", "/a/", &[("one", 1.0)]),
        route("long", "/a/b/", &[("one", 90.0), ("two", 10.0)]),
    ];
    let workspace = Workspace {
        name: "w".try_into().expect("the name is valid"),
        priority: None,
    };
    RouteTable::new(
        7,
        limits,
        Vec::new(),
        routes,
        vec![(workspace, vec![Arc::from("key")])],
    )
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let name = |path: &str| {
        table
            .route("here", path)
            .map(|route| route.name.to_string())
    };
    assert_eq!(name("/a/x").as_deref(), Some("short"));
    assert_eq!(name("/a/b/x").as_deref(), Some("long"));
    assert_eq!(name("/b/"), None);
    assert!(table.route("elsewhere", "/a/x").is_none());
}

#[test]
fn services_are_picked_by_the_weights_of_the_split() {
    let table = table();
    let route = table
        .route("here", "/a/b/x")
        .expect("the path matches a route");
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let picked = (0..2_000).filter(|_| {
        route
            .pick_service(&mut rng)
            .is_some_and(|s| s.as_str() == "two")
    });
    let picked = picked.count();
    assert!((120..280).contains(&picked), "{picked}");
}

#[test]
fn keys_lead_to_their_workspace() {
    let table = table();
    assert!(table.workspace("key").is_some());
    assert!(table.workspace("other").is_none());
    assert!(
        table.needs_key(
            table
                .route("here", "/a/x")
                .expect("the path matches a route")
        )
    );
}
