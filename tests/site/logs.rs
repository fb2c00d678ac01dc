//! Logs whose reader has stopped reading.

use std::process::Stdio;
use std::time::{Duration, Instant};

use futures_util::stream::{self, StreamExt};
use pistachioyard_standins::wait_until;

use super::support::Site;

/// The requests sent; their lines are more than the pipe and the queue hold.
const REQUESTS: usize = 4_000;
/// The requests in flight at once.
const AT_ONCE: usize = 16;
/// The longest that a request may take; the plain service takes 10 ms.
const LONGEST: Duration = Duration::from_secs(2);

/// A reader of standard output that stands still holds up neither requests nor a stop,
/// and the lines that were dropped are counted.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_reader_of_the_log_holds_up_nothing() {
    let mut site = Site::start(2).await;
    let (program, args) = site.entries[1].process.command();
    site.entries[1].process.kill();
    let mut blocked = tokio::process::Command::new(program)
        .args(args)
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the process starts");
    site.await_service().await;
    let to = site.entries[1].callers();
    let asked = stream::iter(0..REQUESTS).map(|_| async {
        let began_at = Instant::now();
        let outcome = site.plain(to, "/lookup/a").await;
        (outcome.ended, began_at.elapsed())
    });
    let answers: Vec<_> = asked.buffer_unordered(AT_ONCE).collect().await;
    let answered = answers.iter().filter(|(ended, _)| ended.is_ok()).count();
    assert_eq!(answered, REQUESTS);
    let longest = answers.iter().map(|(_, took)| *took).max();
    assert!(longest < Some(LONGEST), "{longest:?}");
    assert!(dropped_lines(&site).await > 0.0);
    let pid = nix::unistd::Pid::from_raw(blocked.id().expect("it runs") as i32);
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("it is signalled");
    wait_until(Duration::from_secs(6), "the entry's end", || {
        let ended = blocked.try_wait().expect("it is a child").is_some();
        async move { ended }
    })
    .await
    .expect("it ends within its grace period");
}

/// Reads how many lines the second entry has dropped.
async fn dropped_lines(site: &Site) -> f64 {
    let text = site.metrics_of(&site.entries[1]).await;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("router_log_lines_dropped "));
    line.and_then(|value| value.parse().ok())
        .expect("dropped lines are counted")
}
