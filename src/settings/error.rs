//! Errors in a settings file.

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file '{path}' cannot be read: {why}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The message of the operating system.
        why: String,
    },
    /// The text is not valid TOML.
    #[error("the settings are not valid TOML: {message}")]
    Syntax {
        /// The parser's message, which names the position.
        message: String,
    },
    /// A required key is missing.
    #[error("{key} is missing; give {allowed}")]
    Missing {
        /// The key.
        key: &'static str,
        /// The allowed values.
        allowed: &'static str,
    },
    /// A key is not a known setting.
    #[error("{key} is not a setting; remove it or write one of {known}")]
    Unknown {
        /// The unknown key.
        key: String,
        /// The known keys.
        known: String,
    },
    /// A value is not allowed.
    #[error("{key} is '{value}'; expected {allowed}")]
    NotAllowed {
        /// The key.
        key: String,
        /// The rejected value.
        value: String,
        /// The allowed values.
        allowed: String,
    },
}
