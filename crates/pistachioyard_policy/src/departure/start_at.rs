//! Says where a path starts, and by what it may.

/// Says where a path starts, and by what it may.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAt {
    /// In the entry's own data centre.
    Home,
    /// In another one, within its offer.
    Granted,
    /// In another one, beyond its offer, where enough memory looks free.
    Beyond,
}

impl StartAt {
    /// Returns the name for metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Granted => "granted",
            Self::Beyond => "beyond",
        }
    }
}
