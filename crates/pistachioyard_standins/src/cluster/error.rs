//! The errors of running a cluster.

use crate::{HttpClientError, LaunchError};

/// Reports why a cluster cannot be started or called.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The path of the running program is unknown.
    #[error("cannot determine the path of the running program")]
    CurrentExe(#[source] std::io::Error),
    /// A required program has not been built.
    #[error("the program {name} is not built; run `cargo build --workspace` first")]
    NotBuilt {
        /// The name of the program.
        name: &'static str,
    },
    /// A settings file of an entry cannot be written.
    #[error("cannot write the settings file of an entry")]
    Settings(#[source] std::io::Error),
    /// A process cannot be started or is not ready in time.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// A call to a process failed.
    #[error(transparent)]
    Http(#[from] HttpClientError),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] pistachioyard_wire::NameError),
    /// An entry did not accept the operators' file.
    #[error("the operators' file was not accepted: {answer}")]
    NotAccepted {
        /// The answer of the entry.
        answer: String,
    },
    /// A value cannot be written as JSON or read from it.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
