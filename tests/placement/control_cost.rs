//! Measures the resources that the control plane uses at each entry of an idle deployment.

use std::time::{Duration, Instant};

use pistachioyard_standins::{CallCounts, Cluster, ClusterPlan, ClusterSize};

use crate::support::DEPLOYMENT;

/// How long the idle cluster is observed.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(15);
/// The clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resources that an entry has used since its start.
#[derive(Clone, Copy, Debug)]
struct Usage {
    cpu_seconds: f64,
    resident_kb: u64,
    peer_bytes: f64,
}

fn sum_counter(text: &str, name: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

async fn read_usage(cluster: &Cluster, index: usize) -> Usage {
    let entry = &cluster.entries[index];
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", entry.child.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |i: usize| fields[i].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{}/status", entry.child.id())).unwrap();
    let resident = status.lines().find(|line| line.starts_with("VmRSS"));
    let resident_kb = resident
        .and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0);
    let body = cluster
        .client
        .send(
            http::Method::GET,
            entry.caller,
            "/metrics",
            &[],
            bytes::Bytes::new(),
        )
        .await;
    let text = String::from_utf8_lossy(&body.unwrap().body).into_owned();
    Usage {
        // The user and system time.
        cpu_seconds: (ticks(11) + ticks(12)) / TICKS_PER_SECOND,
        resident_kb,
        peer_bytes: sum_counter(&text, "pistachioyard_peer_sent_bytes_total")
            + sum_counter(&text, "pistachioyard_peer_received_bytes_total"),
    }
}

#[tokio::test]
#[ignore = "a measurement of a whole deployment, not a check"]
async fn control_cost_of_an_idle_deployment() {
    let plan = ClusterPlan::new(DEPLOYMENT, ClusterSize::Full);
    let cluster = Cluster::start(plan).await.unwrap();
    // The first orders load adapters; the cluster is idle only after that.
    tokio::time::sleep(Duration::from_secs(40)).await;
    let counts = |c: &Cluster| {
        let (client, platform) = (c.client.clone(), c.platform);
        async move {
            let read = client.get_json::<CallCounts>(platform, "/control/counts");
            read.await.unwrap()
        }
    };
    let calls = counts(&cluster).await;
    let pids: Vec<u32> = cluster.entries.iter().map(|e| e.child.id()).collect();
    println!("observing processes {pids:?}");
    let started_at = Instant::now();
    let mut before = Vec::new();
    for index in 0..cluster.entries.len() {
        before.push(read_usage(&cluster, index).await);
    }
    tokio::time::sleep(OBSERVATION_PERIOD).await;
    let elapsed = started_at.elapsed().as_secs_f64();
    for (index, before) in before.iter().enumerate() {
        let after = read_usage(&cluster, index).await;
        println!(
            "{} (pid {}): {:.2} % of a core, {} KB resident, {:.1} KB/s to and from peers",
            cluster.entries[index].name,
            cluster.entries[index].child.id(),
            100.0 * (after.cpu_seconds - before.cpu_seconds) / elapsed,
            after.resident_kb,
            (after.peer_bytes - before.peer_bytes) / elapsed / 1_000.0,
        );
    }
    println!(
        "calls to the platform before {calls:?}, after {:?}",
        counts(&cluster).await
    );
}
