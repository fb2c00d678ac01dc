//! What can be wrong in settings.

/// One thing that is wrong in a settings file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsFault {
    /// The file cannot be read.
    #[error("the settings file '{path}' cannot be read: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// The reason from the system.
        why: String,
    },
    /// The text is not TOML of the expected form.
    #[error("the settings cannot be read: {message}")]
    Syntax {
        /// Where and why, from the parser.
        message: String,
    },
    /// A key that must be given is missing.
    #[error("{key} is missing; give {allowed}")]
    Missing {
        /// The key.
        key: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A key is not one of the settings.
    #[error("{key} is not a setting; remove it or write one of {known}")]
    Unknown {
        /// The key as given.
        key: String,
        /// The keys that there are.
        known: String,
    },
    /// A value is not allowed.
    #[error("{key} is '{value}'; {allowed} is allowed")]
    NotAllowed {
        /// The key.
        key: String,
        /// The value as given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}
