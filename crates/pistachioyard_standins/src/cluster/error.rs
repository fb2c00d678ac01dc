//! Why a cluster could not be run.

use crate::{HttpClientError, LaunchError};

/// Why a cluster could not be run or spoken to.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The running program does not know where it is.
    #[error("cannot find the running program")]
    OwnPath(#[source] std::io::Error),
    /// A program that is needed has not been built.
    #[error("the program {name} is not built; run `cargo build --workspace` first")]
    NotBuilt {
        /// The program.
        name: &'static str,
    },
    /// A settings file cannot be written.
    #[error("cannot write a settings file")]
    Settings(#[source] std::io::Error),
    /// A process could not be started or waited for.
    #[error(transparent)]
    Launch(#[from] LaunchError),
    /// A process did not answer as expected.
    #[error(transparent)]
    Http(#[from] HttpClientError),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] pistachioyard_wire::NameError),
    /// The operators' file was not accepted.
    #[error("the operators' file was not accepted: {answer}")]
    NotAccepted {
        /// What the entry answered.
        answer: String,
    },
    /// A value cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
