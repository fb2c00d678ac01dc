//! One child process.

use std::path::PathBuf;
use std::process::{Child as Process, ExitStatus};
use std::sync::Arc;
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::signal::{self, Signal};
use nix::sys::wait::{self, Id, WaitPidFlag};
use nix::unistd::Pid;
use tempfile::TempDir;

use super::error::LaunchError;

/// The time between two looks at whether a process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process; it is killed when the handle is dropped.
///
/// If the handle is dropped by a panic, as in a failing test, the process's log
/// is printed to standard error.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: Process,
    log: PathBuf,
    _logs: Arc<TempDir>,
}

impl Child {
    pub(crate) fn new(name: &str, process: Process, log: PathBuf, logs: Arc<TempDir>) -> Self {
        Self {
            name: name.to_owned(),
            process,
            log,
            _logs: logs,
        }
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns what the process has written to its standard output and error.
    pub fn log(&self) -> String {
        let bytes = std::fs::read(&self.log).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Ends the process at once (SIGKILL) and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled or waited for.
    pub fn kill(&mut self) -> Result<ExitStatus, LaunchError> {
        self.send(Signal::SIGKILL)?;
        let status = self.process.wait();
        status.map_err(|source| wait_error(&self.name, source))
    }

    /// Pauses the process (SIGSTOP) and waits until all its threads have stopped;
    /// its connections stay open.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be signalled or waited for.
    pub fn freeze(&mut self) -> Result<(), LaunchError> {
        self.send(Signal::SIGSTOP)?;
        // The status is left for `exit_status` to collect should the process have ended.
        let flags = WaitPidFlag::WSTOPPED | WaitPidFlag::WEXITED | WaitPidFlag::WNOWAIT;
        match wait::waitid(Id::Pid(self.pid()), flags) {
            // The end of the process has been collected before.
            Ok(_) | Err(Errno::ECHILD) => Ok(()),
            Err(errno) => Err(wait_error(&self.name, errno.into())),
        }
    }

    /// Lets a paused process go on (SIGCONT).
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

    /// Returns whether the process has not ended.
    ///
    /// # Errors
    ///
    /// Fails when the process's state cannot be asked.
    pub fn is_running(&mut self) -> Result<bool, LaunchError> {
        Ok(self.exit_status()?.is_none())
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time; it then runs on.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, LaunchError> {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status()? {
                return Ok(status);
            }
            if tokio::time::Instant::now() >= deadline {
                let what = format!("the end of '{}'", self.name);
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
        Pid::from_raw(id.expect("process ids fit into an i32 on Linux"))
    }

    /// Signals the process unless it has ended, since its id may then be another's.
    fn send(&mut self, signal: Signal) -> Result<(), LaunchError> {
        if !self.is_running()? {
            return Ok(());
        }
        signal::kill(self.pid(), signal).map_err(|errno| LaunchError::Signal {
            name: self.name.clone(),
            signal,
            errno,
        })
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // SIGKILL ends a paused process as well.
        if let Err(e) = self.kill() {
            eprintln!("launch: {e}");
        }
        if std::thread::panicking() {
            eprintln!("launch: log of '{}':\n{}", self.name, self.log());
        }
    }
}

fn wait_error(name: &str, source: std::io::Error) -> LaunchError {
    LaunchError::Wait {
        name: name.to_owned(),
        source,
    }
}
