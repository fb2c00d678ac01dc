//! Long-lived tasks that end by themselves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use pistachioyard::Supervisor;
use pistachioyard_policy::RestartBackoff;
use pistachioyard_standins::wait_until;

const METRIC: &str = "test_restarts_total";
const LIMIT: Duration = Duration::from_secs(10);

fn supervisor() -> (Arc<Supervisor>, Arc<AtomicBool>) {
    let stop = Arc::new(AtomicBool::new(false));
    let stopping = stop.clone();
    let supervisor = Supervisor::new(METRIC, move || stopping.load(Ordering::SeqCst));
    (supervisor, stop)
}

/// Starts a task whose first runs end, every other one by a panic; returns the number of runs.
fn spawn_unsound(supervisor: &Arc<Supervisor>, ends: usize) -> Arc<AtomicUsize> {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    supervisor.spawn("unsound", move || {
        let run = counted.fetch_add(1, Ordering::SeqCst) + 1;
        async move {
            assert!(run > ends || run.is_multiple_of(2), "run {run} panics");
            if run > ends {
                std::future::pending::<()>().await;
            }
        }
    });
    runs
}

async fn await_runs(runs: &AtomicUsize, count: usize) {
    wait_until(LIMIT, "the runs", || async {
        runs.load(Ordering::SeqCst) >= count
    })
    .await
    .expect("the task is started again");
}

#[tokio::test]
async fn a_task_that_panics_or_returns_is_started_again() {
    let (supervisor, _stop) = supervisor();
    let runs = spawn_unsound(&supervisor, 2);
    await_runs(&runs, 3).await;
    assert!(!supervisor.has_failing_task());
}

#[tokio::test]
async fn a_task_that_keeps_ending_is_failing_until_it_has_run_for_a_while() {
    let (supervisor, _stop) = supervisor();
    let runs = spawn_unsound(&supervisor, 4);
    await_runs(&runs, 5).await;
    assert!(supervisor.has_failing_task());
    let limit = RestartBackoff::SOUND_RUN + LIMIT;
    wait_until(limit, "a sound run", || async {
        !supervisor.has_failing_task()
    })
    .await
    .expect("the task counts as sound again");
    assert_eq!(runs.load(Ordering::SeqCst), 5);
}

#[tokio::test]
async fn a_task_that_ends_when_the_process_stops_is_not_started_again() {
    let (supervisor, stop) = supervisor();
    let runs = Arc::new(AtomicUsize::new(0));
    let (counted, stopping) = (runs.clone(), stop.clone());
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    supervisor.spawn("sound", move || {
        counted.fetch_add(1, Ordering::SeqCst);
        let (stopping, tx) = (stopping.clone(), tx.clone());
        async move {
            stopping.store(true, Ordering::SeqCst);
            let _ = tx.send(());
        }
    });
    rx.recv().await.expect("the task runs");
    // The supervisor drops the task's state when it gives it up.
    assert!(rx.recv().await.is_none());
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}
