//! Tests of the version that serves new requests.

use std::time::Instant;

use pistachioyard_policy::serving_version;
use pistachioyard_wire::{EndpointReport, ModelPolicy};

use crate::fixture::{endpoint, layers, report, view_of};

fn holding(id: &str, version: &str, first: u32, adapter: Option<&str>) -> EndpointReport {
    let mut report = report(id, layers(first, first + 4));
    report.version = Some(version.parse().unwrap());
    report.adapters = adapter.map(|a| a.parse().unwrap()).into_iter().collect();
    report
}

#[test]
fn the_old_version_serves_until_the_configured_one_is_covered() {
    let policy = ModelPolicy {
        layers: 8,
        version: "v2".parse().unwrap(),
        adapters: Vec::new(),
    };
    let now = Instant::now();
    let model = "m".parse().unwrap();
    let adapter = "budget".parse().unwrap();
    let mut reports = vec![
        holding("a", "v1", 0, Some("budget")),
        holding("b", "v1", 4, Some("budget")),
        holding("c", "v2", 0, None),
    ];
    let serving = |reports: &[EndpointReport], adapter| {
        let view = view_of(reports, now);
        serving_version(&view, &model, &policy, adapter, now)
    };
    assert_eq!(serving(&reports, None).as_str(), "v1");
    reports.push(holding("d", "v2", 4, None));
    assert_eq!(serving(&reports, None).as_str(), "v2");
    // The new version's endpoints have not loaded the adapter yet.
    assert_eq!(serving(&reports, Some(&adapter)).as_str(), "v1");
    // If no version is covered, the configured one is returned.
    let mut view = view_of(&reports[..1], now);
    view.note_moving(&endpoint("a"), now);
    let version = serving_version(&view, &model, &policy, None, now);
    assert_eq!(version.as_str(), "v2");
}
