//! Says what became of a run of an endpoint that lost a request.

/// Says what became of a run of an endpoint that lost a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunFate {
    /// It goes on; only a connection or the link to it broke.
    Alive,
    /// It has ended.
    Ended,
    /// It cannot be told from a run behind broken links now.
    Unknown,
}

impl RunFate {
    /// Returns the fate as text for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}
