//! Tests the `scale` subcommand, which measures the resource usage of an idle entry.

#![allow(clippy::unwrap_used, reason = "a test ends at its first failure")]

use std::process::Command;

#[test]
fn each_point_has_the_costs_of_real_entries_and_each_dimension_its_slopes() {
    let output = Command::new(env!("CARGO_BIN_EXE_pistachioyard_standins"))
        .args(["scale", "--json", "--vary", "entries,changes"])
        .args(["--entries", "2,4", "--endpoints", "3", "--changes", "0,60"])
        .args(["--window-s", "1", "--settle-s", "0"])
        .output()
        .unwrap();
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let points = report["points"].as_array().unwrap();
    assert_eq!(points.len(), 4);
    for point in points {
        for figure in [
            "cpu_percent",
            "rss_mb",
            "peer_sent_kb_s",
            "peer_received_kb_s",
        ] {
            assert!(point["cost"][figure].as_f64().unwrap() > 0.0, "{point}");
        }
        let changes = point["size"]["changes_per_minute"].as_u64().unwrap();
        assert_eq!(point["cost"]["in_force_ms"].is_number(), changes > 0);
        if changes > 0 {
            assert!(
                point["cost"]["platform_writes_s"].as_f64().unwrap() > 0.0,
                "{point}"
            );
        }
    }
    // One slope for each of seven figures and two dimensions.
    assert_eq!(report["slopes"].as_array().unwrap().len(), 14);
}
