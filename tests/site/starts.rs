//! Starts of an entry that something holds up, and signals during them.

use std::any::Any;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use http::Method;
use nix::sys::signal::Signal;
use pistachioyard_standins::wait_until;
use serde_json::Value;

use super::support::{ENTRY_PORTS, Site};

/// How long a start that is held up may take to log it, and to go on afterwards.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a signal may take to end a process that does not handle it.
const SIGNAL_TIME: Duration = Duration::from_millis(200);
/// The number of starts that are looked at for the order of their first system calls.
const STARTS: usize = 20;
/// The size of the files that the entry with a limit may write, in bytes.
const MAX_LOG_BYTES: usize = 512;
/// Runs a program with that limit, which the shell counts in blocks of 512 bytes.
const LIMITED_FILES: &str = "ulimit -f 1; exec \"$0\" \"$@\"";
/// Runs a program whose settings file the platform names, as `docs/OPERATIONS.md` describes.
const NAMED_SETTINGS: &str = "PISTACHIOYARD_NODE_FILE=\"$1\" exec \"$0\" route";
/// The lines of the settings file of a site that an entry can assume.
const ASSUMABLE: [&str; 4] = ["bootstrap", "directory", "heartbeat_ms", "region"];
/// The number of settings that an entry assumes without them, bounds and limits.
const ASSUMED: usize = 11;
/// How long an entry that serves may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Signals that end a process which does not handle them, and that ask a daemon for nothing.
const STRAY_SIGNALS: [Signal; 10] = [
    Signal::SIGALRM,
    Signal::SIGIO,
    Signal::SIGPIPE,
    Signal::SIGPROF,
    Signal::SIGPWR,
    Signal::SIGUSR1,
    Signal::SIGUSR2,
    Signal::SIGVTALRM,
    Signal::SIGXCPU,
    Signal::SIGXFSZ,
];
/// The line that a start logs when it is held up.
const HELD_UP: &str = "start: step failed";

impl Site {
    /// Starts the first entry and waits until something has held it up.
    async fn start_held_up(&mut self, what: &str) {
        let launcher = self.launcher.clone();
        let process = &mut self.entries[0].process;
        let earlier = process.log().matches(HELD_UP).count();
        process.start(&launcher);
        let met = wait_until(START_TIMEOUT, HELD_UP, || {
            let has_ended = !process.is_running();
            let has_logged = process.log().matches(HELD_UP).count() > earlier;
            async move { has_ended || has_logged }
        });
        met.await.expect("the start is held up");
        assert!(process.is_running(), "{what}: the entry ended by itself");
    }

    /// Waits until the first entry, which was held up, serves.
    async fn await_start(&mut self, what: &str) {
        self.await_service().await;
        let process = &mut self.entries[0].process;
        assert!(process.is_running(), "{what}: the entry ended by itself");
        process.kill();
    }

    fn settings_file(&self) -> PathBuf {
        let (_, args) = self.entries[0].process.command();
        PathBuf::from(&args[2])
    }

    fn own_address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.entries[0].ip, port)
    }
}

fn hold_tcp(address: SocketAddr) -> Box<dyn Any> {
    Box::new(TcpListener::bind(address).expect("the port is free"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_port_that_is_held_at_the_start_does_not_end_an_entry() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let [callers, ready, directory, peers, _] = ENTRY_PORTS;
    for port in [callers, ready, directory, peers] {
        let held = hold_tcp(site.own_address(port));
        site.start_held_up(&format!("port {port}")).await;
        if port != ready {
            let to = site.own_address(ready);
            let answer = site.call(to, Method::GET, "/ready", Value::Null).await;
            assert_ne!(answer, Some(200), "ready while port {port} is held");
        }
        drop(held);
        site.await_start(&format!("port {port}")).await;
    }
    let held = UdpSocket::bind(site.own_address(peers)).expect("the port is free");
    site.start_held_up("gossip").await;
    drop(held);
    site.await_start("gossip").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_serves_while_its_metrics_port_is_held() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let address = site.entries[0].metrics_address();
    let held = hold_tcp(address);
    site.start_held_up("metrics").await;
    site.await_service().await;
    drop(held);
    wait_until(START_TIMEOUT, "the metrics", || async {
        let answer = site.call(address, Method::GET, "/metrics", Value::Null);
        answer.await == Some(200)
    })
    .await
    .expect("the metrics are served once their port is free");
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_that_come_late_do_not_end_an_entry() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let file = site.settings_file();
    let text = std::fs::read_to_string(&file).expect("the settings can be read");
    let own = site.entries[0].ip.to_string();
    // No interface has an address of this block, which is for documentation.
    let elsewhere = text.replace(&own, "192.0.2.1");
    for early in ["", &text[..text.len() / 2], &elsewhere] {
        std::fs::write(&file, early).expect("the settings can be written");
        site.start_held_up(early).await;
        std::fs::write(&file, &text).expect("the settings can be written");
        site.await_start(early).await;
    }
    std::fs::remove_file(&file).expect("the settings can be removed");
    site.start_held_up("no file").await;
    std::fs::write(&file, &text).expect("the settings can be written");
    site.await_start("no file").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_during_the_start_does_not_end_an_entry() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let held = hold_tcp(site.own_address(ENTRY_PORTS[0]));
    site.start_held_up("held").await;
    site.entries[0].process.signal(Signal::SIGHUP);
    drop(held);
    site.entries[0].process.signal(Signal::SIGHUP);
    site.await_start("hangup").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_during_the_start_is_no_failure() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let _held = hold_tcp(site.own_address(ENTRY_PORTS[0]));
    site.start_held_up("held").await;
    let process = &mut site.entries[0].process;
    process.signal(Signal::SIGTERM);
    let ended = process.running_child().wait(START_TIMEOUT).await;
    assert_eq!(ended.expect("the entry ends").code(), Some(0));
    assert!(process.log().contains("router: stopped during the start"));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_logs_that_it_has_started_before() {
    let mut site = Site::start(1).await;
    let line = "peers: entry started again";
    assert!(!site.entries[0].process.log().contains(line));
    site.restart_entries();
    wait_until(START_TIMEOUT, line, || async {
        site.entries[0].process.log().contains(line)
    })
    .await
    .expect("the line is logged");
}

/// Without the signals, 64 attempts take longer than the time that is waited for them.
#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_during_the_start_tries_again_at_once() {
    let mut site = Site::start(1).await;
    site.entries[0].process.kill();
    let _held = hold_tcp(site.own_address(ENTRY_PORTS[0]));
    site.start_held_up("held").await;
    let process = &site.entries[0].process;
    wait_until(START_TIMEOUT, "the attempts", || {
        process.signal(Signal::SIGHUP);
        let has_tried = process.log().contains("attempt=64");
        async move { has_tried }
    })
    .await
    .expect("each signal is followed by an attempt");
}

/// A signal that comes before its handler ends the process.
#[tokio::test(flavor = "multi_thread")]
async fn signals_are_handled_before_anything_else_is_started() {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    for start in 0..STARTS {
        let process = &mut site.entries[0].process;
        process.start(&launcher);
        let id = process.running_child().id();
        let status = first_status_with_threads(id);
        let caught = field(&status, "SigCgt:").expect("the status names the handlers");
        let caught = u64::from_str_radix(caught, 16).expect("they are a bit mask");
        for signal in [Signal::SIGHUP, Signal::SIGTERM] {
            let bit = 1 << (signal as u32 - 1);
            assert!(caught & bit != 0, "start {start}: no handler for {signal}");
        }
    }
}

/// Polls the state of a process without a pause until it has a second thread.
fn first_status_with_threads(id: u32) -> String {
    let started_at = Instant::now();
    while started_at.elapsed() < START_TIMEOUT {
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.expect("the process runs");
        if field(&status, "Threads:").is_some_and(|threads| threads != "1") {
            return status;
        }
    }
    panic!("the entry starts no thread");
}

fn field<'a>(status: &'a str, name: &str) -> Option<&'a str> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.map(str::trim)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_reaches_its_size_limit_does_not_end_an_entry() {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    let process = &mut site.entries[0].process;
    let (_, args) = process.command();
    process.run_in_shell(LIMITED_FILES, args);
    process.start(&launcher);
    let met = wait_until(START_TIMEOUT, "a full log", || {
        let is_met = !process.is_running() || process.log().len() >= MAX_LOG_BYTES;
        async move { is_met }
    });
    met.await.expect("the log reaches its limit");
    site.await_service().await;
    assert!(site.entries[0].process.is_running(), "it ended by itself");
}

/// Guards against starts that wait for a settings file at a path where nobody writes one.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_starts_on_the_settings_file_that_the_platform_names() {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    let file = site.settings_file().display().to_string();
    let process = &mut site.entries[0].process;
    process.run_in_shell(NAMED_SETTINGS, vec![file]);
    process.start(&launcher);
    site.await_service().await;
    let process = &mut site.entries[0].process;
    assert!(process.is_running(), "it ended by itself");
}

/// Guards against an entry that never serves for settings that it can assume.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_serves_without_the_settings_that_it_can_assume() {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    let text = &site.entries[0].settings;
    let (before, bounds) = text.split_once("[bounds]").expect("the file has bounds");
    let (_, after) = bounds
        .split_once("[platform]")
        .expect("the file has a store");
    let is_kept = |line: &&str| !ASSUMABLE.iter().any(|field| line.starts_with(field));
    let kept: Vec<&str> = before.lines().filter(is_kept).collect();
    let text = format!("{}\n[platform]{after}", kept.join("\n"));
    std::fs::write(site.settings_file(), text).expect("the settings can be written");
    let earlier = site.entries[0].process.log().len();
    site.entries[0].process.start(&launcher);
    site.await_service().await;
    let entry = &site.entries[0];
    let count = |line: &str| entry.process.log()[earlier..].matches(line).count();
    assert_eq!(count("router: setting assumed"), ASSUMED);
    assert_eq!(
        count("{ field=bounds.budget_slack why=absent assumed=0 }"),
        1
    );
    let metrics = site.fetch_metrics(entry).await;
    let gauge = format!("router_settings_assumed {ASSUMED}");
    assert!(metrics.lines().any(|line| line == gauge), "{metrics}");
    entry.process.signal(Signal::SIGHUP);
    wait_until(START_TIMEOUT, "the check", || async {
        count("router: setting assumed") == 2 * ASSUMED
    })
    .await
    .expect("the check names what it assumes");
}

/// Guards against a read that waits for ever in the only thread, also for SIGTERM.
#[tokio::test(flavor = "multi_thread")]
async fn a_settings_file_that_is_a_pipe_nobody_writes_stops_no_entry() {
    let mut site = Site::start(1).await;
    let file = site.settings_file();
    let text = std::fs::read_to_string(&file).expect("the settings can be read");
    std::fs::remove_file(&file).expect("the settings can be removed");
    let made = std::process::Command::new("mkfifo").arg(&file).status();
    assert!(made.expect("the program runs").success());
    let line = "router: cannot load the settings file";
    site.entries[0].process.signal(Signal::SIGHUP);
    wait_until(START_TIMEOUT, line, || async {
        site.entries[0].process.log().contains(line)
    })
    .await
    .expect("the check ends");
    site.await_service().await;
    site.entries[0].process.kill();
    site.start_held_up("a pipe").await;
    std::fs::remove_file(&file).expect("the pipe can be removed");
    std::fs::write(&file, text).expect("the settings can be written");
    site.await_service().await;
    let process = &mut site.entries[0].process;
    process.signal(Signal::SIGTERM);
    let ended = process.running_child().wait(STOP_TIMEOUT).await;
    assert_eq!(ended.expect("the entry ends").code(), Some(0));
}

/// Guards against an end by a signal that asks a daemon for nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_stray_signal_does_not_end_an_entry() {
    let mut site = Site::start(1).await;
    let launcher = site.launcher.clone();
    let mut ended = Vec::new();
    for signal in STRAY_SIGNALS {
        let process = &mut site.entries[0].process;
        process.signal(signal);
        let gone = tokio::time::timeout(SIGNAL_TIME, process.running_child().wait(START_TIMEOUT));
        if gone.await.is_ok() {
            ended.push(signal);
            process.take_own_ends();
            process.start(&launcher);
            site.await_service().await;
        }
    }
    assert!(ended.is_empty(), "ended by {ended:?}");
    site.await_service().await;
}
