//! Planned stops of entries: no answer in progress is cut off.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use pistachioyard_standins::{ClusterPlan, GenerateEnd, wait_until};
use pistachioyard_wire::{EntryList, ProblemKind};

use crate::support::{DEPLOYMENT, Harness, WAIT_TIMEOUT, plan_with_replicas, request};

/// The time within which a stopping entry must leave the address lists. The target is
/// 1 s; the rest is a margin for a busy machine.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// The number of engines per stage; enough to admit one more answer beside those of
/// [`planned_stop_under_load`].
const REPLICAS: usize = 4;

fn plan_with_entries(entries: usize) -> ClusterPlan {
    let mut plan = plan_with_replicas(REPLICAS);
    plan.entries = entries;
    plan
}

async fn wait_until_unlisted(harness: &Harness, stopping: usize) {
    let name = &harness.cluster.entries[stopping].name;
    for entry in &harness.cluster.entries {
        let what = format!("{} to drop {name}", entry.name);
        wait_until(LIST_TIMEOUT, &what, || async {
            let list: Result<EntryList, _> = harness
                .cluster
                .client
                .get_json(entry.caller, "/v1/entries")
                .await;
            list.is_ok_and(|list| list.entries.iter().all(|e| e.entry.as_str() != *name))
        })
        .await
        .expect("the stopping entry stayed in the address list");
    }
}

/// An entry is told to stop under load: all address lists drop it, callers that hold
/// its old address are still served, and every answer in progress completes.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_under_load() {
    let mut harness = Harness::start_with(plan_with_entries(3)).await;
    let mut running: Vec<_> = (0..12)
        .map(|index| {
            let mut req = request(&format!("Through a planned stop, {index}"));
            req.max_tokens = 240;
            harness.send_request(0, req)
        })
        .collect();
    running[0].wait_for_tokens(5).await;
    let stopped = harness.cluster.entries[0].child.terminate();
    stopped.expect("failed to send the stop signal");
    wait_until_unlisted(&harness, 0).await;
    let (stale_caller_answer, stale_caller_req) = harness
        .ask(0, "From a caller with an old address")
        .wait()
        .await;
    harness
        .check_answer(&stale_caller_answer, &stale_caller_req)
        .await;
    for running in running {
        let (answer, req) = running.wait().await;
        harness.check_answer(&answer, &req).await;
    }
    let ended = harness.cluster.entries[0].child.wait(WAIT_TIMEOUT).await;
    assert!(ended.expect("the stopped entry did not exit").success());
}

/// All entries are restarted one after the other under steady load. Callers that learn
/// that an entry is stopping move on to the next one, and no request is lost.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut harness = Harness::start_with(plan_with_entries(4)).await;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let whole = Arc::new(AtomicUsize::new(0));
    let entries: Vec<_> = harness.cluster.entries.iter().map(|e| e.caller).collect();
    let callers: Vec<_> = (0..8)
        .map(|index| {
            let (caller, is_stopped) = (harness.caller.clone(), is_stopped.clone());
            let (mut entries, whole) = (entries.clone(), whole.clone());
            tokio::spawn(async move {
                let mut count = 0;
                while !is_stopped.load(Ordering::SeqCst) {
                    count += 1;
                    entries.rotate_left(1);
                    let req = request(&format!("Steady load {index}, {count}"));
                    let answer = send_with_failover(&caller, &entries, &req).await;
                    assert!(answer.is_correct(DEPLOYMENT, &req), "{:?}", answer.end);
                    whole.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    for index in 0..entries.len() {
        let child = &mut harness.cluster.entries[index].child;
        child.terminate().expect("failed to send the stop signal");
        let ended = child
            .wait(WAIT_TIMEOUT)
            .await
            .expect("the stopped entry did not exit");
        assert!(ended.success());
        let restarted = harness.cluster.restart_entry(index).await;
        restarted.expect("failed to restart the entry");
        harness
            .cluster
            .wait_ready()
            .await
            .expect("the cluster did not become ready again");
    }
    is_stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("a request was lost");
    }
    assert!(whole.load(Ordering::SeqCst) > 0);
}

/// Tries the entries in turn while they report that they are stopping, not ready or
/// short of capacity, or accept no connection. An answer that has started must not break.
async fn send_with_failover(
    caller: &pistachioyard_standins::Caller,
    entries: &[std::net::SocketAddr],
    req: &pistachioyard_wire::GenerateRequest,
) -> pistachioyard_standins::Answer {
    for entry in entries.iter().cycle() {
        let answer = caller.generate(*entry, req, |_| {}).await;
        let tries_next_entry = match &answer.end {
            GenerateEnd::Broken => answer.resume.is_none(),
            GenerateEnd::Problem(p) => {
                matches!(
                    p.kind,
                    ProblemKind::Stopping | ProblemKind::NoConfig | ProblemKind::Overloaded
                ) || p.kind == ProblemKind::NoCapacity && answer.resume.is_none()
            }
            _ => false,
        };
        if !tries_next_entry {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("`cycle` is infinite")
}
