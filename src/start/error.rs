//! The errors of the steps of a start.

use std::error::Error;
use std::net::SocketAddr;

use pistachioyard_platform::SettingsError;

use super::StartStep;

/// Says why a step of a start has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The settings are invalid or cannot be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The runtime or the handlers of signals cannot be set up.
    #[error("cannot set up the runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// The system refused something in the middle of the set-up of the runtime.
    #[error("the set-up of the runtime panicked")]
    RuntimePanicked,
    /// The settings file of an entry daemon cannot be read.
    #[cfg(feature = "entry")]
    #[error(transparent)]
    Unreadable(crate::settings::SettingsError),
    /// A listening socket cannot be opened.
    #[error("cannot listen for {} on {address}: {source}", step.as_str())]
    Listen {
        /// What the socket is for.
        step: StartStep,
        /// The address.
        address: SocketAddr,
        /// The underlying error.
        source: Box<dyn Error + Send + Sync>,
    },
}

impl StartError {
    /// Returns the error of a socket that cannot be opened.
    pub(crate) fn listen(
        step: StartStep,
        address: SocketAddr,
        source: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        let source = source.into();
        Self::Listen {
            step,
            address,
            source,
        }
    }

    /// Returns the step that has failed.
    pub(crate) fn step(&self) -> StartStep {
        match self {
            Self::Runtime(_) | Self::RuntimePanicked => StartStep::Runtime,
            Self::Settings(_) => StartStep::Settings,
            #[cfg(feature = "entry")]
            Self::Unreadable(_) => StartStep::Settings,
            Self::Listen { step, .. } => *step,
        }
    }
}
