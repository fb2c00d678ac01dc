//! The configuration file as operators write it (TOML), also called the operators' file.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::config::{CallPolicy, ModelPolicy, ServiceLevel, WorkspacePolicy};
use crate::{CallName, ModelName, ServiceName, WorkspaceName};

/// The contents of a configuration file, which is accepted or rejected as a whole.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// The models by name.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelPolicy>,
    /// The plain services by name, each a map of its calls by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, BTreeMap<CallName, CallPolicy>>,
    /// The workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceName, WorkspacePolicy>,
    /// The service levels to measure and report.
    #[serde(default)]
    pub service_levels: Vec<ServiceLevel>,
}
