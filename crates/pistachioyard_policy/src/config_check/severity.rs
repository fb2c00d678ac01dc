//! How bad a finding is.

/// Says whether a configuration can be sent with a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// An entry does not work as written.
    Error,
    /// It works, but probably not as meant.
    Warning,
}

impl Severity {
    /// Returns the severity as text for messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}
