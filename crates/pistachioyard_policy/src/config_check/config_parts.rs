//! The entries of a configuration.

use std::sync::Arc;

use crate::routing::{CallerLimits, Route, Service, Workspace};

/// Holds the entries of a configuration in their order, with those that hide each other.
#[derive(Clone, Debug)]
pub struct ConfigParts {
    /// The version number that the operator gave it.
    pub version: u64,
    /// The limits on what callers may send.
    pub limits: CallerLimits,
    /// The services.
    pub services: Vec<Service>,
    /// The routes.
    pub routes: Vec<Route>,
    /// The workspaces with their API keys.
    pub workspaces: Vec<(Workspace, Vec<Arc<str>>)>,
    /// Whether no entry was left out because it cannot be decoded.
    pub is_whole: bool,
}
