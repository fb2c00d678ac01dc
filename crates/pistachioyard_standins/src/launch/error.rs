//! Why a process cannot be started or does not do what is waited for.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::signal::Signal;

/// Why a process cannot be started or does not do what is waited for.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// No free loopback prefix was found.
    #[error("no free prefix in 127.0.0.0/8 after {tries} tries; end other runs first")]
    NoFreePrefix {
        /// The prefixes tried.
        tries: u32,
    },
    /// The pool has handed out all its addresses.
    #[error("all {limit} addresses of the pool are handed out; make another pool")]
    PoolEmpty {
        /// The addresses that a pool has.
        limit: u8,
    },
    /// The directory or file for logs cannot be made.
    #[error("cannot make a log file: {0}")]
    Log(#[source] io::Error),
    /// The program cannot be started.
    #[error("cannot start {}: {source}; build it first", program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// The process cannot be signalled.
    #[error("cannot send {signal} to '{name}': {errno}")]
    Signal {
        /// The process's name.
        name: String,
        /// The signal.
        signal: Signal,
        /// The system's reason.
        errno: Errno,
    },
    /// The state of the process cannot be asked.
    #[error("cannot wait for '{name}': {source}")]
    Wait {
        /// The process's name.
        name: String,
        /// The system's reason.
        source: io::Error,
    },
    /// What was waited for did not come in time.
    #[error("{what} did not happen within {timeout:?}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// The time allowed.
        timeout: Duration,
    },
}
