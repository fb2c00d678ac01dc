//! Endpoints that leave: they get no new streams, and their streams in progress complete.

use std::collections::BTreeSet;
use std::time::Duration;

use pistachioyard_standins::{EngineFaults, PlatformFaults};
use pistachioyard_wire::{HostState, StreamId};

use crate::support::{Harness, request};

/// The grace period in which new streams may still start at a leaving endpoint.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// The number of requests that are sent after the grace period.
const LATER_REQUESTS: usize = 16;

/// Sends requests after the grace period and checks that none of them ran on `engine`.
async fn check_no_new_streams(harness: &Harness, engine: usize) {
    let running: Vec<_> = (0..LATER_REQUESTS)
        .map(|index| harness.ask(index % 2, &format!("After engine {engine} left, {index}")))
        .collect();
    let mut streams = BTreeSet::new();
    for running in running {
        let (answer, req) = running.wait().await;
        harness.check_answer(&answer, &req).await;
        streams.extend(crate::support::stream_of(&answer));
    }
    let logs = harness.run_logs().await;
    let on_engine: BTreeSet<StreamId> = logs[&engine].iter().map(|run| run.stream).collect();
    assert!(
        on_engine.is_disjoint(&streams),
        "a new stream started on the leaving engine"
    );
}

/// Marks an endpoint as leaving in the host list while an answer runs on it. The answer
/// must complete there, and no new stream may start there after the grace period.
async fn leave_by_host_list(stage: usize) {
    let mut harness = Harness::start().await;
    let mut req = request(&format!("On a stage {stage} that leaves"));
    req.max_tokens = 400;
    let mut running = harness.send_request(0, req);
    running.wait_for_tokens(20).await;
    let engine = harness.engine_for_stage(&running, stage);
    harness.cluster.hosts[engine].state = HostState::Leaving;
    harness
        .cluster
        .put_hosts()
        .await
        .expect("the platform rejected the host list");
    tokio::time::sleep(LEAVING_GRACE).await;
    check_no_new_streams(&harness, engine).await;
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
}

/// The host list marks the head as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_in_host_list() {
    leave_by_host_list(0).await;
}

/// The host list marks the middle engine as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_middle_in_host_list() {
    leave_by_host_list(1).await;
}

/// The host list marks the last engine as leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_last_in_host_list() {
    leave_by_host_list(2).await;
}

/// Has an engine report that it drains, under platform faults that keep the host list
/// from showing it.
async fn drain_by_engine_report(faults: PlatformFaults) {
    let harness = Harness::start().await;
    let set = harness.cluster.set_platform_faults(&faults).await;
    set.expect("the platform rejected the faults");
    let mut req = request("On an engine that drains");
    req.max_tokens = 400;
    let mut running = harness.send_request(0, req);
    running.wait_for_tokens(20).await;
    let engine = harness.engine_for_stage(&running, 0);
    let draining = EngineFaults {
        draining: true,
        ..EngineFaults::default()
    };
    harness.set_engine_faults(engine, &draining).await;
    tokio::time::sleep(LEAVING_GRACE).await;
    check_no_new_streams(&harness, engine).await;
    let (answer, req) = running.wait().await;
    harness.check_answer(&answer, &req).await;
}

/// The engine reports that it drains while the host list lags by 10 s.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_reported_by_engine() {
    drain_by_engine_report(PlatformFaults {
        host_lag_ms: 10_000,
        ..PlatformFaults::default()
    })
    .await;
}

/// The engine reports that it drains while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_with_platform_down() {
    drain_by_engine_report(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    })
    .await;
}
