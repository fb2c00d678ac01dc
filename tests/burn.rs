//! Tests `pistachioyard report burn` against stub entries and against real ones.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

use expect_test::expect;
use pistachioyard_standins::{
    Caller, Cluster, ClusterPlan, ClusterSize, Deployment, GenerateEnd, draft_request,
};
use pistachioyard_wire::{OperationKey, ProblemKind};
use uuid::Uuid;

/// Runs `pistachioyard report burn`.
fn report_burn(entries: &[SocketAddr], extra: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pistachioyard"));
    command.args(["report", "burn"]);
    for entry in entries {
        command.args(["--entry", &entry.to_string()]);
    }
    command.args(extra).output().unwrap()
}

/// Serves a JSON body for each path, one request per connection.
fn serve(listener: TcpListener, bodies: BTreeMap<&'static str, String>) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).unwrap();
            let head = String::from_utf8_lossy(&buf[..len]).into_owned();
            let path = head.split(' ').nth(1).unwrap_or_default();
            let (status, body) = match bodies.get(path) {
                Some(body) => ("200 OK", body.as_str()),
                None => ("404 Not Found", ""),
            };
            let len = body.len();
            write!(
                stream,
                "HTTP/1.1 {status}\r\ncontent-length: {len}\r\nconnection: close\r\n\r\n{body}"
            )
            .unwrap();
        }
    });
}

fn windows(counts: [(u64, u64); 4]) -> serde_json::Value {
    [300, 1_800, 3_600, 21_600]
        .into_iter()
        .zip(counts)
        .map(|(window_s, (good, total))| {
            serde_json::json!({"window_s": window_s, "good": good, "total": total})
        })
        .collect()
}

fn burn_of(entry: &str, first: [(u64, u64); 4], success: [(u64, u64); 4]) -> String {
    serde_json::json!({
        "entry": entry,
        "levels": [
            {
                "level": {"objective": "first_token", "threshold_ms": 1700, "target": 0.95},
                "windows": windows(first),
            },
            {
                "level": {"objective": "success", "target": 0.999, "workspace": "macon-central",
                          "priority": "high"},
                "windows": windows(success),
            },
        ],
        "ended": {"done": 90, "overloaded": 7, "caller_gone": 1},
        "operations": {"done": 5, "result_lost": 1},
    })
    .to_string()
}

/// Starts two stub entries that answer. A third one, which they list, does not.
fn start_fleet() -> (Vec<SocketAddr>, SocketAddr) {
    let listen = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (one, two, gone) = (listen(), listen(), listen());
    let addresses = [&one, &two, &gone].map(|l| l.local_addr().unwrap());
    drop(gone);
    let entries: Vec<serde_json::Value> = ["entry-0", "entry-1", "entry-2"]
        .into_iter()
        .zip(addresses)
        .map(|(entry, address)| {
            serde_json::json!({"entry": entry, "address": address, "data_centre": "macon",
                               "state": "live", "revision": 3})
        })
        .collect();
    let status = serde_json::json!({
        "entry": "entry-0", "revision": 3, "digest": "", "ready": true, "usable_endpoints": 4,
        "platform_reachable": true, "entries": entries,
    })
    .to_string();
    let first = burn_of(
        "entry-0",
        [(10, 20), (40, 50), (40, 100), (990, 1_000)],
        [(20, 20), (50, 50), (100, 100), (1_000, 1_000)],
    );
    let second = burn_of(
        "entry-1",
        [(0, 20), (30, 50), (10, 100), (910, 1_000)],
        [(20, 20), (50, 50), (100, 100), (999, 1_000)],
    );
    serve(
        one,
        BTreeMap::from([("/v1/status", status.clone()), ("/v1/burn", first)]),
    );
    serve(
        two,
        BTreeMap::from([("/v1/status", status), ("/v1/burn", second)]),
    );
    (addresses[..2].to_vec(), addresses[2])
}

#[test]
fn counts_of_all_entries_are_merged_and_missing_entries_are_named() {
    let (entries, gone) = start_fleet();
    // The first address does not answer, so the second entry is asked for the list.
    let output = report_burn(&[gone, entries[1]], &[]);
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout)
        .unwrap()
        .replace(&gone.to_string(), "GONE");
    expect![[r#"
        SERVICE LEVEL               TARGET  WINDOWS       BURN RATE                              ALERT AT  ALERT   BUDGET LEFT
        first_token <= 1700 ms      95%     5 min / 1 h   15.00 (30 of 40) / 15.00 (150 of 200)  14.4      FIRING  0%
                                            30 min / 6 h  6.00 (30 of 100) / 1.00 (100 of 2000)  6         -
        success macon-central high  99.9%   5 min / 1 h   0.00 (0 of 40) / 0.00 (0 of 200)       14.4      -       50%
                                            30 min / 6 h  0.00 (0 of 100) / 0.50 (1 of 2000)     6         -
        ended requests: caller_gone 2, done 180, overloaded 14
        ended operations: done 10, result_lost 2
        counted by: entry-0, entry-1
        not counted: entry-2 at GONE: no connection to GONE
    "#]].assert_eq(&text);
}

#[test]
fn an_entry_that_is_named_twice_counts_once_in_json() {
    let (entries, _) = start_fleet();
    let output = report_burn(&[entries[0], entries[0], entries[1]], &["--output", "json"]);
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    expect![[r#"[{"burn_rate":0.0,"good":40,"total":40,"window_s":300},{"burn_rate":0.0,"good":100,"total":100,"window_s":1800},{"burn_rate":0.0,"good":200,"total":200,"window_s":3600},{"burn_rate":0.4999999999999995,"good":1999,"total":2000,"window_s":21600}]"#]].assert_eq(&report["levels"][1]["windows"].to_string());
    assert_eq!(report["answered"].to_string(), r#"["entry-0","entry-1"]"#);
    assert_eq!(report["ended"]["done"], 180);
    assert_eq!(report["operations"]["result_lost"], 2);
}

#[test]
fn the_chart_names_each_service_level() {
    let (entries, _) = start_fleet();
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("burn.svg");
    let output = report_burn(&entries, &["--svg", path.to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
    let svg = std::fs::read_to_string(path).unwrap();
    assert!(svg.starts_with("<svg"), "{svg}");
    for text in [
        "first_token &lt;= 1700 ms",
        "success macon-central high",
        "30 min",
    ] {
        assert!(svg.contains(text), "{text} is not in {svg}");
    }
}

#[tokio::test]
async fn every_request_to_real_entries_is_counted_once_by_how_it_ended() {
    let deployment = Deployment::CradleCount;
    let mut plan = ClusterPlan::new(deployment, ClusterSize::Small);
    plan.entries = 2;
    let cluster = Cluster::start(plan).await.unwrap();
    let caller = Caller::default();
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|e| e.caller).collect();
    let (workspace, _) = deployment.workspaces();
    for entry in &entries {
        let req = draft_request(deployment, workspace, "Nap time.", 4).unwrap();
        assert_eq!(
            caller.generate(*entry, &req, |_| {}).await.end,
            GenerateEnd::Complete
        );
        let unknown = draft_request(deployment, "nobody", "Nap time.", 4).unwrap();
        let refused = caller.generate(*entry, &unknown, |_| {}).await.end;
        assert!(matches!(refused, GenerateEnd::Problem(p) if p.kind == ProblemKind::NotConfigured));
    }
    let (_, call) = deployment.service_call();
    let key = OperationKey::try_from(Uuid::now_v7().to_string().as_str()).unwrap();
    for keyed in [Some(key), Some(key), None] {
        let answer = caller
            .operate(entries[0], deployment, call, keyed, "{}")
            .await;
        assert_eq!(answer.unwrap().is_ok(), keyed.is_some());
    }
    // A stream is counted only after its last event was sent, so the counts may lag.
    let mut seen = serde_json::Value::Null;
    let counted = pistachioyard_standins::wait_until(
        std::time::Duration::from_secs(10),
        "the counts",
        || {
            let output = report_burn(&entries, &["--output", "json"]);
            seen = serde_json::from_slice(&output.stdout).unwrap();
            let done = seen["ended"]["done"] == 2;
            async move { done }
        },
    );
    counted.await.unwrap();
    assert_eq!(
        seen["ended"].to_string(),
        r#"{"done":2,"not_configured":2}"#
    );
    assert_eq!(seen["operations"].to_string(), r#"{"bad_key":1,"done":2}"#);
    // Errors of callers count against no service level.
    let levels = seen["levels"].as_array().unwrap();
    let success = levels
        .iter()
        .find(|l| l["level"]["objective"] == "success" && l["level"]["workspace"].is_null())
        .unwrap();
    assert_eq!(success["windows"][0]["good"], 4);
    assert_eq!(success["windows"][0]["total"], 4);
}
