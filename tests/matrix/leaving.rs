//! Endpoints that leave: no new stream begins there, those in progress end whole.

use std::collections::BTreeSet;
use std::time::Duration;

use pistachioyard_standins::{EngineFaults, PlatformFaults};
use pistachioyard_wire::{HostState, StreamId};

use crate::support::{Trial, request};

/// How long new streams may still begin at a leaving endpoint.
const LEAVING_TIME: Duration = Duration::from_secs(3);
/// The answers that are asked for after that time.
const LATER_ANSWERS: usize = 16;

/// Asks for answers after the leaving time and checks that none touched `engine`.
async fn check_left(trial: &Trial, engine: usize) {
    let running: Vec<_> = (0..LATER_ANSWERS)
        .map(|place| trial.ask(place % 2, &format!("After engine {engine} left, {place}")))
        .collect();
    let mut streams = BTreeSet::new();
    for running in running {
        let (answer, req) = running.end().await;
        trial.check(&answer, &req).await;
        streams.extend(crate::support::stream_of(&answer));
    }
    let logs = trial.runs().await;
    let on_engine: BTreeSet<StreamId> = logs[&engine].iter().map(|run| run.stream).collect();
    assert!(on_engine.is_disjoint(&streams), "a new stream began there");
}

/// The host list says that an endpoint leaves while an answer runs on it: the
/// answer ends whole there, and no new one begins after the leaving time.
async fn leaves_in_host_list(stage: usize) {
    let mut trial = Trial::start().await;
    let mut req = request(&format!("On a stage {stage} that leaves"));
    req.max_tokens = 400;
    let mut running = trial.ask_for(0, req);
    running.reach(20).await;
    let engine = trial.engine_of(&running, stage);
    trial.cluster.hosts[engine].state = HostState::Leaving;
    trial.cluster.put_hosts().await.expect("the hosts are told");
    tokio::time::sleep(LEAVING_TIME).await;
    check_left(&trial, engine).await;
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
}

/// The host list says that the head leaves.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_in_host_list() {
    leaves_in_host_list(0).await;
}

/// The host list says that the middle engine leaves.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_middle_in_host_list() {
    leaves_in_host_list(1).await;
}

/// The host list says that the last engine leaves.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_last_in_host_list() {
    leaves_in_host_list(2).await;
}

/// An engine says itself that it drains, with a platform that cannot tell.
async fn engine_says_draining(faults: PlatformFaults) {
    let trial = Trial::start().await;
    let set = trial.cluster.set_platform_faults(&faults).await;
    set.expect("the platform takes its faults");
    let mut req = request("On an engine that drains");
    req.max_tokens = 400;
    let mut running = trial.ask_for(0, req);
    running.reach(20).await;
    let engine = trial.engine_of(&running, 0);
    let draining = EngineFaults {
        draining: true,
        ..EngineFaults::default()
    };
    trial.set_engine_faults(engine, &draining).await;
    tokio::time::sleep(LEAVING_TIME).await;
    check_left(&trial, engine).await;
    let (answer, req) = running.end().await;
    trial.check(&answer, &req).await;
}

/// The engine says that it drains while the host list lags by 10 s.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_said_by_engine() {
    engine_says_draining(PlatformFaults {
        host_lag_ms: 10_000,
        ..PlatformFaults::default()
    })
    .await;
}

/// The engine says that it drains while the platform is down.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_with_platform_down() {
    engine_says_draining(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    })
    .await;
}
