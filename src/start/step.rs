//! The steps of a start.

/// Names a step of a start that can fail for a while.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum StartStep {
    /// Listening for requests of callers.
    Callers,
    /// Listening for directory queries.
    Directory,
    /// Listening for datagrams of other entries.
    Gossip,
    /// Serving the metrics.
    Metrics,
    /// Listening for connections of other entries.
    Peers,
    /// Listening for checks of readiness.
    Readiness,
    /// Setting up the runtime and the handlers of signals.
    Runtime,
    /// Reading the settings file.
    Settings,
}

impl StartStep {
    /// Returns the name of the step in log lines.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Directory => "directory",
            Self::Gossip => "gossip",
            Self::Metrics => "metrics",
            Self::Peers => "peers",
            Self::Readiness => "readiness",
            Self::Runtime => "runtime",
            Self::Settings => "settings",
        }
    }
}
