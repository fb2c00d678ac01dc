//! Planned stops of entries: nothing in progress is cut off.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use pistachioyard_standins::{ClusterPlan, GenerateEnd, wait_until};
use pistachioyard_wire::{EntryList, ProblemKind};

use crate::support::{DEPLOYMENT, PATIENCE, Trial, plan_with_copies, request};

/// How soon a stopping entry leaves the address lists; the promise is 1 s, and the
/// rest is for a busy machine.
const LIST_TIMEOUT: Duration = Duration::from_secs(3);

/// The engines for each stage, so that one more answer is admitted beside those of
/// [`planned_stop_under_load`].
const COPIES: usize = 4;

fn plan_with_entries(entries: usize) -> ClusterPlan {
    let mut plan = plan_with_copies(COPIES);
    plan.entries = entries;
    plan
}

async fn wait_until_unlisted(trial: &Trial, stopping: usize) {
    let name = &trial.cluster.entries[stopping].name;
    for entry in &trial.cluster.entries {
        let what = format!("{} to drop {name}", entry.name);
        wait_until(LIST_TIMEOUT, &what, || async {
            let list: Result<EntryList, _> = trial
                .cluster
                .client
                .get_json(entry.caller, "/v1/entries")
                .await;
            list.is_ok_and(|list| list.entries.iter().all(|e| e.entry.as_str() != *name))
        })
        .await
        .expect("the entry leaves the list");
    }
}

/// An entry is told to stop under load: all lists drop it, callers that hold the
/// old address are still served, and every answer in progress ends whole.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_under_load() {
    let mut trial = Trial::start_plan(plan_with_entries(3)).await;
    let mut running: Vec<_> = (0..12)
        .map(|place| {
            let mut req = request(&format!("Through a planned stop, {place}"));
            req.max_tokens = 240;
            trial.ask_for(0, req)
        })
        .collect();
    running[0].reach(5).await;
    let stopped = trial.cluster.entries[0].child.terminate();
    stopped.expect("the entry can be told to stop");
    wait_until_unlisted(&trial, 0).await;
    let (old_address, old_req) = trial
        .ask(0, "From a caller with an old address")
        .end()
        .await;
    trial.check(&old_address, &old_req).await;
    for running in running {
        let (answer, req) = running.end().await;
        trial.check(&answer, &req).await;
    }
    let ended = trial.cluster.entries[0].child.wait(PATIENCE).await;
    assert!(ended.expect("the entry ends").success());
}

/// Every entry is stopped and started again in turn under steady load; callers
/// that are told that an entry is stopping ask the next, and no request is lost.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart() {
    let mut trial = Trial::start_plan(plan_with_entries(4)).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let whole = Arc::new(AtomicUsize::new(0));
    let entries: Vec<_> = trial.cluster.entries.iter().map(|e| e.caller).collect();
    let callers: Vec<_> = (0..8)
        .map(|place| {
            let (caller, is_over) = (trial.caller.clone(), is_over.clone());
            let (mut entries, whole) = (entries.clone(), whole.clone());
            tokio::spawn(async move {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    entries.rotate_left(1);
                    let req = request(&format!("Steady load {place}, {count}"));
                    let answer = ask_in_turn(&caller, &entries, &req).await;
                    assert!(answer.is_correct(DEPLOYMENT, &req), "{:?}", answer.end);
                    whole.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    for place in 0..entries.len() {
        let child = &mut trial.cluster.entries[place].child;
        child.terminate().expect("the entry can be told to stop");
        let ended = child.wait(PATIENCE).await.expect("the entry ends");
        assert!(ended.success());
        let restarted = trial.cluster.restart_entry(place).await;
        restarted.expect("the entry starts again");
        trial.cluster.wait_ready().await.expect("all are ready");
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("no request is lost");
    }
    assert!(whole.load(Ordering::SeqCst) > 0);
}

/// Asks the entries in turn while they say that they stop or are not ready, or
/// take no connection; an answer that began must not break.
async fn ask_in_turn(
    caller: &pistachioyard_standins::Caller,
    entries: &[std::net::SocketAddr],
    req: &pistachioyard_wire::GenerateRequest,
) -> pistachioyard_standins::Answer {
    for entry in entries.iter().cycle() {
        let answer = caller.generate(*entry, req, |_| {}).await;
        let is_elsewhere = match &answer.end {
            GenerateEnd::Broken => answer.resume.is_none(),
            GenerateEnd::Problem(p) => {
                matches!(
                    p.kind,
                    ProblemKind::Stopping | ProblemKind::NoConfig | ProblemKind::Overloaded
                ) || p.kind == ProblemKind::NoCapacity && answer.resume.is_none()
            }
            _ => false,
        };
        if !is_elsewhere {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    unreachable!("the cycle has no end")
}
