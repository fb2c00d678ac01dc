//! The errors of starting, signalling and awaiting processes.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::signal::Signal;

/// Reports why a process cannot be started or controlled, or a wait failed.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// No free loopback prefix was found.
    #[error("no free prefix in 127.0.0.0/8 after {attempts} attempts; stop other test runs first")]
    NoFreePrefix {
        /// The number of prefixes tried.
        attempts: u32,
    },
    /// The pool has handed out all its addresses.
    #[error("all {limit} addresses of the pool are in use; create another pool")]
    PoolExhausted {
        /// The number of addresses in a pool.
        limit: u8,
    },
    /// The directory or file for logs cannot be created.
    #[error("cannot create the log directory or file: {0}")]
    Log(#[source] io::Error),
    /// The program cannot be started.
    #[error("cannot start {}: {source}; build the program first", program.display())]
    Spawn {
        /// The path of the program.
        program: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The process cannot be signalled.
    #[error("cannot send {signal} to '{name}': {errno}")]
    Signal {
        /// The name of the process.
        name: String,
        /// The signal.
        signal: Signal,
        /// The error of the system.
        errno: Errno,
    },
    /// The state of the process cannot be read.
    #[error("cannot wait for '{name}': {source}")]
    Wait {
        /// The name of the process.
        name: String,
        /// The error of the system.
        source: io::Error,
    },
    /// A condition did not hold in time.
    #[error("timed out after {timeout:?} waiting for {what}")]
    Timeout {
        /// The condition that was awaited.
        what: String,
        /// The time limit.
        timeout: Duration,
    },
}
