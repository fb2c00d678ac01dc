//! The operators' file as it is written (TOML).

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::config::{CallPolicy, ModelPolicy, ServiceLevel, WorkspacePolicy};
use crate::{CallName, ModelName, ServiceName, WorkspaceName};

/// The whole file; it is accepted as a whole or not at all.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigFile {
    /// The models by name.
    #[serde(default)]
    pub models: BTreeMap<ModelName, ModelPolicy>,
    /// The plain services by name, each with its calls by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, BTreeMap<CallName, CallPolicy>>,
    /// The workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceName, WorkspacePolicy>,
    /// The service levels to report on.
    #[serde(default)]
    pub service_levels: Vec<ServiceLevel>,
}
