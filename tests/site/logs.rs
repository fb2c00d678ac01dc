//! Log output to a reader that has stopped reading.

use std::process::Stdio;
use std::time::{Duration, Instant};

use futures_util::stream::{self, StreamExt};
use pistachioyard_standins::wait_until;

use super::support::Site;

/// The number of requests; their log lines exceed the capacity of the pipe and of the queue.
const REQUESTS: usize = 4_000;
/// The number of requests in flight at once.
const CONCURRENT_REQUESTS: usize = 16;
/// The limit for one request; the service itself takes 10 ms.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(2);
/// A variable with which no thread can be started, since no address space has room for its stack.
const NO_THREADS: (&str, &str) = ("RUST_MIN_STACK", "1152921504606846976");

#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_reader_of_the_log_delays_nothing() {
    check_blocked_reader(&[]).await;
}

/// Guards against lines that wait for their reader in the thread that serves requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_reader_of_a_log_without_a_thread_delays_nothing() {
    check_blocked_reader(&[NO_THREADS]).await;
}

/// Checks that a blocked reader of standard output delays neither requests nor a stop, and that
/// dropped log lines are counted.
async fn check_blocked_reader(variables: &[(&str, &str)]) {
    let mut site = Site::start(2).await;
    let (program, args) = site.entries[1].process.command();
    site.entries[1].process.kill();
    let mut blocked = tokio::process::Command::new(program)
        .args(args)
        .envs(variables.iter().copied())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the process starts");
    site.await_service().await;
    let to = site.entries[1].caller_address();
    let requests = stream::iter(0..REQUESTS).map(|_| async {
        let started_at = Instant::now();
        let outcome = site.check_plain(to, "/lookup/a").await;
        (outcome.result, started_at.elapsed())
    });
    let answers: Vec<_> = requests
        .buffer_unordered(CONCURRENT_REQUESTS)
        .collect()
        .await;
    let answered = answers.iter().filter(|(result, _)| result.is_ok()).count();
    assert_eq!(answered, REQUESTS);
    let longest = answers.iter().map(|(_, took)| *took).max();
    assert!(longest < Some(MAX_REQUEST_TIME), "{longest:?}");
    assert!(dropped_lines(&site).await > 0.0);
    let pid = nix::unistd::Pid::from_raw(blocked.id().expect("the process runs") as i32);
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("the signal is sent");
    wait_until(Duration::from_secs(6), "the entry to exit", || {
        let ended = blocked.try_wait().expect("the process can be polled");
        if let Some(ended) = ended {
            assert_eq!(ended.code(), Some(0));
        }
        async move { ended.is_some() }
    })
    .await
    .expect("the entry exits within its grace period");
}

/// Returns the number of log lines that the second entry has dropped.
async fn dropped_lines(site: &Site) -> f64 {
    let text = site.fetch_metrics(&site.entries[1]).await;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("router_log_lines_dropped "));
    line.and_then(|value| value.parse().ok())
        .expect("the metric of dropped lines exists")
}
