//! Controls one child process.

use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child as Process, ExitStatus};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::signal::{self, Signal};
use nix::sys::wait::{self, Id, WaitPidFlag, WaitStatus};
use nix::unistd::Pid;
use tempfile::TempDir;

use super::error::LaunchError;

/// The interval at which a process is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Controls a child process, which is killed when the handle is dropped.
///
/// If the handle is dropped during a panic, as in a failing test, the log of the
/// process is printed to standard error.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: Process,
    log: PathBuf,
    /// Whether SIGTERM or SIGKILL was sent while the process ran.
    is_end_requested: AtomicBool,
    _logs: Arc<TempDir>,
}

impl Child {
    pub(crate) fn new(name: &str, process: Process, log: PathBuf, logs: Arc<TempDir>) -> Self {
        Self {
            name: name.to_owned(),
            process,
            log,
            is_end_requested: AtomicBool::new(false),
            _logs: logs,
        }
    }

    /// Returns the name that the process was started under.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the standard output and error of the process so far.
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Kills the process (SIGKILL) and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled or waited for.
    pub fn kill(&mut self) -> Result<ExitStatus, LaunchError> {
        self.send(Signal::SIGKILL)?;
        let status = self.process.wait();
        status.map_err(|source| wait_error(&self.name, source))
    }

    /// Pauses the process (SIGSTOP) and waits until all its threads have stopped.
    ///
    /// Its connections stay open.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled or waited for.
    pub fn freeze(&mut self) -> Result<(), LaunchError> {
        self.send(Signal::SIGSTOP)?;
        // If the process has ended, its status is left for `exit_status` to collect.
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        match wait::waitid(Id::Pid(self.pid()), flags) {
            // The exit status has already been collected.
            Ok(_) | Err(Errno::ECHILD) => Ok(()),
            Err(errno) => Err(wait_error(&self.name, errno.into())),
        }
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn thaw(&mut self) -> Result<(), LaunchError> {
        self.send(Signal::SIGCONT)
    }

    /// Asks the process to stop gracefully (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn terminate(&mut self) -> Result<(), LaunchError> {
        self.send(Signal::SIGTERM)
    }

    /// Returns whether the process is still running.
    ///
    /// # Errors
    ///
    /// Fails when the state of the process cannot be read.
    pub fn is_running(&mut self) -> Result<bool, LaunchError> {
        Ok(self.exit_status()?.is_none())
    }

    /// Returns whether SIGTERM or SIGKILL was sent to the process while it ran.
    pub fn is_end_requested(&self) -> bool {
        self.is_end_requested.load(Ordering::Relaxed)
    }

    /// Returns how the process ended by itself; none if it runs or its end was requested.
    ///
    /// A failure or another signal after a SIGTERM counts as an end by itself.
    ///
    /// # Errors
    ///
    /// Fails when the state of the process cannot be read.
    pub fn own_end(&mut self) -> Result<Option<ExitStatus>, LaunchError> {
        let status = self.exit_status()?;
        Ok(status.filter(|status| !self.is_end_requested() || !is_as_requested(*status)))
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exit in time; it then keeps running.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, LaunchError> {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
                let what = format!("the exit of '{}'", self.name);
                return Err(LaunchError::Timeout { what, timeout });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn exit_status(&mut self) -> Result<Option<ExitStatus>, LaunchError> {
        let status = self.process.try_wait();
        status.map_err(|source| wait_error(&self.name, source))
    }

    fn pid(&self) -> Pid {
        let id = i32::try_from(self.process.id());
        Pid::from_raw(id.expect("a process id fits into an i32 on Linux"))
    }

    /// Signals the process unless it has ended, since its id may then have been reused.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled.
    pub fn send(&self, signal: Signal) -> Result<(), LaunchError> {
        let flags = WaitPidFlag::WNOHANG | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        if wait::waitid(Id::Pid(self.pid()), flags) != Ok(WaitStatus::StillAlive) {
            return Ok(());
        }
        signal::kill(self.pid(), signal).map_err(|errno| LaunchError::Signal {
            name: self.name.clone(),
            signal,
            errno,
        })?;
        if let Signal::SIGTERM | Signal::SIGKILL = signal {
            self.is_end_requested.store(true, Ordering::Relaxed);
        }
        Ok(())
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // SIGKILL also ends a paused process.
        if let Err(e) = self.kill() {
            eprintln!("launch: {e}");
        }
        if std::thread::panicking() {
            eprintln!("launch: log of '{}':\n{}", self.name, self.log());
        }
    }
}

/// Returns whether a status is that of a process which was told to end.
fn is_as_requested(status: ExitStatus) -> bool {
    let by_request = [Signal::SIGTERM as i32, Signal::SIGKILL as i32];
    status.success() || status.signal().is_some_and(|by| by_request.contains(&by))
}

fn wait_error(name: &str, source: std::io::Error) -> LaunchError {
    LaunchError::Wait {
        name: name.to_owned(),
        source,
    }
}
