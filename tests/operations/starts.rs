//! Starts of an entry daemon that something holds up, and signals to it.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use pistachioyard_standins::{AddressPool, Child, Launcher, wait_until};

/// How long the entry may take to log what is expected.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The lowest limit with which the system loads the program, and one with which it serves.
const DESCRIPTORS: std::ops::RangeInclusive<u32> = 4..=16;
/// Runs a program that cannot start a thread, since no address space has room for such a stack.
const NO_THREADS: &str = "RUST_MIN_STACK=1152921504606846976 exec \"$0\" \"$@\"";
/// Runs a program whose settings file, its third argument, comes a second after its start.
const LATE_FILE: &str =
    "mv \"$3\" \"$3.late\"; (sleep 1; mv \"$3.late\" \"$3\") & exec \"$0\" \"$@\"";
/// The same with a pipe, which nobody writes, in its place until then.
const LATE_FILE_AFTER_PIPE: &str = "mv \"$3\" \"$3.late\"; mkfifo \"$3\"; \
                                    (sleep 1; mv \"$3.late\" \"$3\") & exec \"$0\" \"$@\"";
/// Runs a program whose output is a full pipe, which nobody reads.
const UNREAD_OUTPUT: &str = "mkfifo \"$3.out\"; exec 9<>\"$3.out\"; timeout 1 yes >&9; \
                             exec \"$0\" \"$@\" >&9 2>&9";
/// Runs a program as it is.
pub(super) const EXEC: &str = "exec \"$0\" \"$@\"";
/// The lines that say whether a start was held up.
const OUTCOMES: [&str; 2] = ["start: step failed", "serves callers on"];

/// Holds an entry whose platform does not answer; it serves nothing but runs.
pub(super) struct LoneEntry {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
    _pool: AddressPool,
    _files: tempfile::TempDir,
}

impl LoneEntry {
    /// Starts an entry after `prepare` was called with its addresses for callers and peers.
    fn start<T>(prepare: impl FnOnce(SocketAddr, SocketAddr) -> T) -> (Self, T) {
        Self::start_in_shell(EXEC, prepare)
    }

    /// Does the same through a shell script; `$0` is the program, and its arguments follow.
    fn start_in_shell<T>(
        script: &str,
        prepare: impl FnOnce(SocketAddr, SocketAddr) -> T,
    ) -> (Self, T) {
        Self::start_beside(None, script, prepare)
    }

    /// Does the same with a platform at an address; without one, nothing answers there.
    pub(super) fn start_beside<T>(
        platform: Option<SocketAddr>,
        script: &str,
        prepare: impl FnOnce(SocketAddr, SocketAddr) -> T,
    ) -> (Self, T) {
        let pool = AddressPool::new().expect("addresses are free");
        let next = || pool.next_address().expect("an address is free");
        let (callers, peers, platform) = (next(), next(), platform.unwrap_or_else(next));
        let prepared = prepare(callers, peers);
        let files = tempfile::tempdir().expect("a directory can be created");
        let file = files.path().join("entry.toml");
        let text = format!(
            "entry = \"one\"\ncaller_address = \"{callers}\"\npeer_address = \"{peers}\"\n\
             platform = \"{platform}\"\ndata_centre = \"east\"\n"
        );
        std::fs::write(&file, text).expect("the settings can be written");
        let launcher = Launcher::new().expect("the launcher can be set up");
        let program = env!("CARGO_BIN_EXE_pistachioyard");
        let file = file.to_str().expect("the path is UTF-8");
        let args = ["-c", script, program, "entry", "--config", file];
        let child = launcher
            .spawn("entry", "sh".as_ref(), args)
            .expect("the entry starts");
        let entry = Self {
            child,
            callers,
            peers,
            _pool: pool,
            _files: files,
        };
        (entry, prepared)
    }

    /// Waits until the entry has logged a line, and checks that it has not ended.
    async fn await_line(&mut self, line: &str) {
        let met = wait_until(TIMEOUT, line, || {
            let is_met = !self.is_running() || self.child.log().contains(line);
            async move { is_met }
        });
        met.await.expect("the line is logged");
        assert!(self.is_running(), "the entry ended by itself");
    }

    fn is_running(&mut self) -> bool {
        self.child.is_running().expect("its state can be read")
    }

    /// Waits until the start has succeeded or is held up, and returns how the entry ends after
    /// SIGTERM, with its log.
    async fn stop_after_start(&mut self) -> (Option<i32>, String) {
        let met = wait_until(TIMEOUT, "an outcome of the start", || {
            let log = self.child.log();
            let is_met = !self.is_running() || OUTCOMES.iter().any(|line| log.contains(line));
            async move { is_met }
        });
        met.await.expect("the start succeeds or is held up");
        if self.is_running() {
            self.signal(Signal::SIGTERM);
        }
        let ended = self.child.wait(TIMEOUT).await;
        (ended.expect("the entry ends").code(), self.child.log())
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        nix::sys::signal::kill(pid, signal).expect("the signal is sent");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hangup_does_not_end_an_entry_daemon() {
    let (mut entry, ()) = LoneEntry::start(|_, _| ());
    entry.await_line("entry: one serves callers on").await;
    entry.signal(Signal::SIGHUP);
    entry.await_line("entry: settings file is valid").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_port_that_is_held_at_the_start_does_not_end_an_entry_daemon() {
    let hold = |address| TcpListener::bind(address).expect("the port is free");
    for holds_callers in [true, false] {
        let (mut entry, held) =
            LoneEntry::start(|callers, peers| hold(if holds_callers { callers } else { peers }));
        entry.await_line("start: step failed").await;
        entry.signal(Signal::SIGHUP);
        drop(held);
        entry.await_line("entry: one serves callers on").await;
        for address in [entry.callers, entry.peers] {
            std::net::TcpStream::connect(address).expect("the entry accepts");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stop_during_the_start_of_an_entry_daemon_is_no_failure() {
    let (mut entry, _held) =
        LoneEntry::start(|callers, _| TcpListener::bind(callers).expect("the port is free"));
    entry.await_line("start: step failed").await;
    entry.signal(Signal::SIGTERM);
    let ended = entry.child.wait(TIMEOUT).await;
    assert_eq!(ended.expect("the entry ends").code(), Some(0));
}

/// Guards against set-up that takes a lack of descriptors for the end of the process.
#[tokio::test(flavor = "multi_thread")]
async fn few_descriptors_do_not_end_an_entry_daemon() {
    let mut failed = Vec::new();
    for limit in DESCRIPTORS {
        let script = format!("ulimit -n {limit}; exec \"$0\" \"$@\"");
        let (mut entry, ()) = LoneEntry::start_in_shell(&script, |_, _| ());
        let (code, log) = entry.stop_after_start().await;
        if code != Some(0) {
            let last = log.lines().last().unwrap_or_default().to_owned();
            failed.push((limit, code, last));
        }
    }
    assert!(failed.is_empty(), "ended by themselves: {failed:#?}");
}

/// Guards against a runtime that takes a lack of threads for the end of the process.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_daemon_waits_for_threads() {
    let (mut entry, ()) = LoneEntry::start_in_shell(NO_THREADS, |_, _| ());
    let (code, log) = entry.stop_after_start().await;
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("start: step failed { step=runtime"), "{log}");
}

/// Guards against a settings file that comes late and ends the process.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_daemon_waits_for_its_settings_file() {
    let (mut entry, ()) = LoneEntry::start_in_shell(LATE_FILE, |_, _| ());
    entry.await_line("start: step failed { step=settings").await;
    entry.await_line("entry: one serves callers on").await;
}

/// Guards against a read that waits for ever.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_daemon_does_not_wait_for_a_pipe_nobody_writes() {
    let (mut entry, ()) = LoneEntry::start_in_shell(LATE_FILE_AFTER_PIPE, |_, _| ());
    entry.await_line("start: step failed { step=settings").await;
    entry.await_line("entry: one serves callers on").await;
}

/// Guards against log lines that wait for their reader in the threads of the runtime.
#[tokio::test(flavor = "multi_thread")]
async fn a_blocked_reader_of_the_log_does_not_hold_up_an_entry_daemon() {
    let (mut entry, ()) = LoneEntry::start_in_shell(UNREAD_OUTPUT, |_, _| ());
    let to = entry.callers;
    wait_until(TIMEOUT, "the entry", || async move {
        tokio::net::TcpStream::connect(to).await.is_ok()
    })
    .await
    .expect("the entry takes connections");
    entry.signal(Signal::SIGTERM);
    let ended = entry.child.wait(TIMEOUT).await;
    assert_eq!(ended.expect("the entry ends").code(), Some(0));
}
