//! Where in a configuration something is.

use std::fmt;
use std::sync::Arc;

use pistachioyard_wire::{ServiceName, WorkspaceName};

/// The number of characters of a name that messages show.
const MAX_SHOWN_CHARS: usize = 80;

/// Names an entry of a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ConfigPlace {
    /// The configuration itself.
    Whole,
    /// The limits on what callers may send.
    Limits,
    /// A service.
    Service(ServiceName),
    /// A kind of card of a service's endpoints.
    Card(ServiceName, Arc<str>),
    /// A workspace.
    Workspace(WorkspaceName),
    /// A route, by its name.
    Route(Arc<str>),
}

impl fmt::Display for ConfigPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole => f.write_str("configuration"),
            Self::Limits => f.write_str("limits"),
            Self::Service(name) => write!(f, "service '{name}'"),
            Self::Card(service, name) => {
                write!(f, "service '{service}', card '{}'", shown(name))
            }
            Self::Workspace(name) => write!(f, "workspace '{name}'"),
            Self::Route(name) => write!(f, "route '{}'", shown(name)),
        }
    }
}

/// Returns a name of an operator for a message: its beginning, without control characters.
pub(super) fn shown(name: &str) -> String {
    shown_up_to(MAX_SHOWN_CHARS, name)
}

/// Returns the first characters of a text of an operator, and whether more follow.
pub(super) fn shown_up_to(max_chars: usize, text: &str) -> String {
    let mut rest = text.chars();
    let begin = rest.by_ref().take(max_chars);
    let mut shown: String = begin.flat_map(char::escape_debug).collect();
    if rest.next().is_some() {
        shown.push_str("...");
    }
    shown
}
