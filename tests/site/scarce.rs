//! Entries whose system has few descriptors or no threads.

use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use pistachioyard_standins::wait_until;

use super::caller::new_request_id;
use super::raw::{Exchange, RawConnection};
use super::support::Site;

/// How long a start may take to succeed or to log what holds it up.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an entry may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// The lowest limit with which the system loads the program, and one with which it serves.
const DESCRIPTORS: std::ops::RangeInclusive<u32> = 4..=16;
/// Runs a program that cannot start a thread, since no address space has room for such a stack.
const NO_THREADS: &str = "RUST_MIN_STACK=1152921504606846976 exec \"$0\" \"$@\"";
/// Runs a program that can hold some connections.
const FEW_CONNECTIONS: &str = "ulimit -n 48; exec \"$0\" \"$@\"";
/// More connections than that.
const CONNECTIONS: usize = 64;
/// The number of requests for which an entry cannot connect.
const REQUESTS: usize = 20;
/// The time within which a request is refused that cannot be served.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// How long an entry may take to notice that connections were closed.
const CLOSE_TIME: Duration = Duration::from_millis(300);
/// Runs a program that finds too few descriptors for its runtime.
const FEW_DESCRIPTORS: &str = "ulimit -n 6; exec \"$0\" \"$@\"";
/// How long a program that writes without end may take to fill a pipe.
const FILL_TIME: Duration = Duration::from_millis(500);
/// How long a program may take from its `main` to the wait for descriptors.
const SET_UP_TIME: Duration = Duration::from_millis(500);
/// The lines that say whether a start was held up.
const OUTCOMES: [&str; 2] = ["start: step failed", "router: started"];

impl Site {
    /// Starts the first entry through a shell script and returns how it ended after SIGTERM, with
    /// its log.
    async fn stop_after_start(&mut self, script: &str) -> (Option<i32>, String) {
        let launcher = self.launcher.clone();
        let process = &mut self.entries[0].process;
        let earlier = process.log().len();
        process.kill();
        let (program, args) = process.command();
        process.run_in_shell(script, args.clone());
        process.start(&launcher);
        (process.program, process.args) = (program, args);
        let met = wait_until(START_TIMEOUT, "an outcome of the start", || {
            let log = process.log().split_off(earlier);
            let is_met = !process.is_running() || OUTCOMES.iter().any(|line| log.contains(line));
            async move { is_met }
        });
        met.await.expect("the start succeeds or is held up");
        if process.is_running() {
            process.signal(Signal::SIGTERM);
        }
        let ended = process.running_child().wait(STOP_TIMEOUT).await;
        let code = ended.expect("the entry ends").code();
        (code, process.log().split_off(earlier))
    }
}

/// Guards against set-up that takes a lack of descriptors for the end of the process.
#[tokio::test(flavor = "multi_thread")]
async fn few_descriptors_do_not_end_an_entry() {
    let mut site = Site::start(1).await;
    let mut failed = Vec::new();
    for limit in DESCRIPTORS {
        let script = format!("ulimit -n {limit}; exec \"$0\" \"$@\"");
        let (code, log) = site.stop_after_start(&script).await;
        if code != Some(0) {
            let last = log.lines().last().unwrap_or_default().to_owned();
            failed.push((limit, code, last));
        }
    }
    assert!(failed.is_empty(), "ended by themselves: {failed:#?}");
}

/// Guards against a log that takes a lack of threads for the end of the process.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_threads_serves_logs_and_stops() {
    let mut site = Site::start(1).await;
    let (code, log) = site.stop_after_start(NO_THREADS).await;
    assert_eq!(code, Some(0), "{log}");
    for line in ["router: started", "router: stopping", "router: stopped"] {
        assert!(log.contains(line), "no `{line}` in {log}");
    }
}

/// Starts a site whose entry can hold some connections.
async fn start_with_few_connections() -> Site {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    let process = &mut site.entries[0].process;
    process.kill();
    let (_, args) = process.command();
    process.run_in_shell(FEW_CONNECTIONS, args);
    process.start(&launcher);
    site.await_service().await;
    site
}

/// Opens connections to the entry until it has no descriptor for another one.
async fn use_up_descriptors(site: &Site) -> Vec<std::net::TcpStream> {
    let to = site.entries[0].caller_address();
    let connect = |_| std::net::TcpStream::connect(to).expect("the system accepts");
    let connections = (0..CONNECTIONS).map(connect).collect();
    let refused = "http: cannot accept";
    let process = &site.entries[0].process;
    let met = wait_until(START_TIMEOUT, refused, || async {
        process.log().contains(refused)
    });
    met.await.expect("the descriptors run out");
    connections
}

/// Guards against connections that take an entry's last descriptors and end it.
#[tokio::test(flavor = "multi_thread")]
async fn connections_without_descriptors_do_not_end_an_entry() {
    let mut site = start_with_few_connections().await;
    drop(use_up_descriptors(&site).await);
    site.await_service().await;
    let process = &mut site.entries[0].process;
    process.signal(Signal::SIGTERM);
    let ended = process.running_child().wait(STOP_TIMEOUT).await;
    assert_eq!(ended.expect("the entry ends").code(), Some(0));
}

/// Guards against an entry without descriptors that ejects its endpoints for it, and so refuses
/// requests after it has descriptors again.
#[tokio::test(flavor = "multi_thread")]
async fn endpoints_are_not_blamed_for_a_lack_of_descriptors() {
    let site = start_with_few_connections().await;
    let mut caller = RawConnection::open(site.entries[0].caller_address()).await;
    assert!(caller.write("/record/a", &new_request_id(), &[]).await);
    assert!(matches!(caller.read().await, Exchange::Complete(200, _)));
    let process = &site.entries[0].process;
    let earlier = process.log().len();
    let connections = use_up_descriptors(&site).await;
    for _ in 0..REQUESTS {
        assert!(caller.write("/record/a", &new_request_id(), &[]).await);
        let answer = tokio::time::timeout(REFUSAL_TIME, caller.read()).await;
        answer.expect("the request is refused at once");
    }
    drop(connections);
    tokio::time::sleep(CLOSE_TIME).await;
    assert!(caller.write("/record/a", &new_request_id(), &[]).await);
    let answer = caller.read().await;
    assert!(matches!(answer, Exchange::Complete(200, _)), "{answer:?}");
    let log = process.log().split_off(earlier);
    assert!(!log.contains("endpoints: ejected after a failure"), "{log}");
    assert!(log.contains("http: this host is short"), "{log}");
}

/// Returns whether a process ignores SIGPIPE, as a program of Rust does from before its `main`.
fn has_begun(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let ignored = status.lines().find_map(|line| line.strip_prefix("SigIgn:"));
    let ignored = ignored.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
    ignored.is_some_and(|mask| mask & 1 << (Signal::SIGPIPE as u32 - 1) != 0)
}

/// Guards against a start that waits for the reader of its output with all signals held back.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_reader_does_not_hold_up_a_stop_while_descriptors_are_waited_for() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let (program, args) = site.entries[0].process.command();
    let (_reader, writer) = std::io::pipe().expect("a pipe can be opened");
    let output = || Stdio::from(writer.try_clone().expect("the pipe can be shared"));
    let _filler = tokio::process::Command::new("yes")
        .stdout(output())
        .kill_on_drop(true)
        .spawn()
        .expect("the program runs");
    tokio::time::sleep(FILL_TIME).await;
    let mut entry = tokio::process::Command::new("sh")
        .args(["-c", FEW_DESCRIPTORS])
        .arg(program)
        .args(args)
        .stdout(output())
        .stderr(output())
        .kill_on_drop(true)
        .spawn()
        .expect("the entry starts");
    let id = entry.id().expect("the entry runs");
    let met = wait_until(START_TIMEOUT, "its main", || async { has_begun(id) });
    met.await.expect("the entry begins");
    tokio::time::sleep(SET_UP_TIME).await;
    let pid = Pid::from_raw(id as i32);
    nix::sys::signal::kill(pid, Signal::SIGTERM).expect("the signal is sent");
    let ended = tokio::time::timeout(STOP_TIMEOUT, entry.wait()).await;
    let ended = ended.expect("the stop is not held up");
    assert_eq!(ended.expect("the entry ends").code(), Some(0));
}
