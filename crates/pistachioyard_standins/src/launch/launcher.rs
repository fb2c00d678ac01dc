//! Starts child processes.

use std::ffi::OsStr;
use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;

use tempfile::TempDir;

use super::child::Child;
use super::error::LaunchError;

/// Starts child processes and writes their output to files in a temporary directory.
///
/// The directory is removed when the launcher and all its children are dropped.
#[derive(Clone, Debug)]
pub struct Launcher {
    logs: Arc<TempDir>,
}

impl Launcher {
    /// Creates a launcher with an empty log directory.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be created.
    pub fn new() -> Result<Self, LaunchError> {
        let logs = TempDir::with_prefix("pistachioyard-").map_err(LaunchError::Log)?;
        Ok(Self {
            logs: Arc::new(logs),
        })
    }

    /// Starts a program; children of the same name append to the same log.
    ///
    /// Its standard input is a pipe that closes when the launching process ends. Pass
    /// `--exit-with-stdin` to stand-ins so that they end as well.
    ///
    /// # Errors
    ///
    /// Fails when the log cannot be opened or the program cannot be started.
    pub fn spawn<A: AsRef<OsStr>>(
        &self,
        name: &str,
        program: &Path,
        args: impl IntoIterator<Item = A>,
    ) -> Result<Child, LaunchError> {
        let log = self.log_path(name);
        let out = OpenOptions::new()
            .append(true)
            .create(true)
            .open(&log)
            .map_err(LaunchError::Log)?;
        let err = out.try_clone().map_err(LaunchError::Log)?;
        let process = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|source| LaunchError::Spawn {
                program: program.to_owned(),
                source,
            })?;
        Ok(Child::new(name, process, log, Arc::clone(&self.logs)))
    }

    /// Returns the path of the log that children of this name write to.
    pub fn log_path(&self, name: &str) -> PathBuf {
        self.logs.path().join(format!("{name}.log"))
    }
}
