//! How one configuration differs from another.

use std::fmt;

use super::ConfigPlace;
use super::config_place::shown_up_to;
use super::setting::Setting;

/// The number of characters of a value that messages show; enough for a split among a few services.
const MAX_VALUE_CHARS: usize = 300;
/// The number of keys that a message names.
const MAX_SHOWN_KEYS: usize = 8;

/// Says what differs in an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The entry is new.
    Added(ConfigPlace),
    /// The entry is gone.
    Removed(ConfigPlace),
    /// A setting of the entry has another value, or none in one of the two.
    Changed {
        /// The entry.
        place: ConfigPlace,
        /// The setting.
        setting: Setting,
        /// The value in force; none if there is none.
        from: Option<String>,
        /// The new value; none if there is none.
        to: Option<String>,
    },
    /// Keys of a workspace were added or removed; holds their digests.
    KeysChanged {
        /// The workspace.
        place: ConfigPlace,
        /// The keys that are new.
        added: Vec<String>,
        /// The keys that are gone.
        removed: Vec<String>,
    },
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(place) => write!(f, "+ {place}"),
            Self::Removed(place) => write!(f, "- {place}"),
            Self::Changed {
                place,
                setting,
                from,
                to,
            } => {
                let value = |value: &Option<String>| {
                    shown_up_to(MAX_VALUE_CHARS, value.as_deref().unwrap_or("none"))
                };
                write!(f, "~ {place}: {setting} {} -> {}", value(from), value(to))
            }
            Self::KeysChanged {
                place,
                added,
                removed,
            } => {
                let (added, removed) = (list(added), list(removed));
                write!(f, "~ {place}: keys added {added}, removed {removed}")
            }
        }
    }
}

/// Returns the number of digests and the first of them.
fn list(digests: &[String]) -> String {
    let named = digests[..digests.len().min(MAX_SHOWN_KEYS)].join(" ");
    let more = if digests.len() > MAX_SHOWN_KEYS {
        " ..."
    } else {
        ""
    };
    match digests.len() {
        0 => "0".to_owned(),
        count => format!("{count} ({named}{more})"),
    }
}
