//! Starts of an entry daemon that something holds up, and signals to it.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use nix::sys::signal::Signal;
use nix::unistd::Pid;
use pistachioyard_standins::{AddressPool, Child, Launcher, wait_until};

/// How long the entry may take to log what is expected.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Holds an entry whose platform does not answer; it serves nothing but runs.
struct LoneEntry {
    child: Child,
    callers: SocketAddr,
    peers: SocketAddr,
    _pool: AddressPool,
    _files: tempfile::TempDir,
}

impl LoneEntry {
    /// Starts an entry after `prepare` was called with its addresses for callers and peers.
    fn start<T>(prepare: impl FnOnce(SocketAddr, SocketAddr) -> T) -> (Self, T) {
        let pool = AddressPool::new().expect("addresses are free");
        let next = || pool.next_address().expect("an address is free");
        let (callers, peers, platform) = (next(), next(), next());
        let prepared = prepare(callers, peers);
        let files = tempfile::tempdir().expect("a directory can be created");
        let file = files.path().join("entry.toml");
        let text = format!(
            "entry = \"one\"\ncaller_address = \"{callers}\"\npeer_address = \"{peers}\"\n\
             platform = \"{platform}\"\ndata_centre = \"east\"\n"
        );
        std::fs::write(&file, text).expect("the settings can be written");
        let launcher = Launcher::new().expect("the launcher can be set up");
        let program = env!("CARGO_BIN_EXE_pistachioyard").as_ref();
        let file = file.to_str().expect("the path is UTF-8");
        let child = launcher
            .spawn("entry", program, ["entry", "--config", file])
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
