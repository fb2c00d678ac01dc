//! The checked configuration.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ConfigFile;
use crate::{AdapterName, CallName, ModelName, ServiceName, VersionName, WorkspaceName};

/// The most layers a model may have.
const MAX_LAYERS: u32 = 1_024;
/// The highest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// The largest configuration file, in bytes; the object API holds a megabyte.
const MAX_FILE_BYTES: usize = 900_000;

/// Decides which work goes first; declared from the most to the least urgent.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    JsonSchema,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Goes before all other work.
    High,
    /// The usual priority.
    #[default]
    Normal,
    /// Fills what the others leave.
    Low,
}

impl Priority {
    /// All priorities, the most urgent first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Returns the priority as it is written in files and labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

/// A model that is served.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPolicy {
    /// The number of its layers.
    pub layers: u32,
    /// The version to serve.
    pub version: VersionName,
    /// The adapters that requests may name.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// A workspace's share and limits.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePolicy {
    /// Its share relative to the other workspaces.
    pub weight: u32,
    /// The most requests it may have in progress over all entries.
    pub max_in_flight: u32,
    /// The priority of its requests that name none.
    #[serde(default)]
    pub priority: Priority,
    /// The models that it may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The services that it may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// How one call of a service may be treated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallPolicy {
    /// Whether the call is idempotent and may be sent again.
    pub repeatable: bool,
}

/// A plain service and its calls.
pub type ServicePolicy = BTreeMap<CallName, CallPolicy>;

/// What a service level measures.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The time from a request's arrival to its first token.
    FirstToken,
    /// The time between one token and the next.
    BetweenTokens,
    /// Requests that ended as done, of all that were not refused as malformed.
    Success,
    /// The time from the loss of a stage to the next token of a stream.
    Recovery,
}

/// A service level to report on.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// What it measures.
    pub objective: Objective,
    /// The threshold in milliseconds; none for success.
    #[serde(default)]
    pub threshold_ms: Option<u64>,
    /// The share that must meet it, above 0 and below 1.
    pub target: f64,
    /// The workspace it is for; all where none is named.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
    /// The priority it is for; all where none is named.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// One thing that is wrong in an operators' file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigFault {
    /// The text is not TOML of the expected form.
    #[error("the file cannot be read: {message}")]
    Syntax {
        /// Where and why, from the parser.
        message: String,
    },
    /// The text is larger than the object API holds.
    #[error("the file has {len} bytes; {MAX_FILE_BYTES} are allowed")]
    TooLarge {
        /// Its length in bytes.
        len: usize,
    },
    /// A number is out of its range.
    #[error("{key} is {value}; {allowed} is allowed")]
    OutOfRange {
        /// The key's path in the file.
        key: String,
        /// The value as given.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A name is used that the file does not declare.
    #[error("{key} names '{name}', which the file does not declare; declare it or remove the name")]
    Undeclared {
        /// The key's path in the file.
        key: String,
        /// The name as given.
        name: String,
    },
    /// A service level lacks a threshold, or has one that means nothing.
    #[error("{key} {problem}")]
    Threshold {
        /// The key's path in the file.
        key: String,
        /// What is wrong and the way out.
        problem: &'static str,
    },
}

/// A configuration whose parts fit together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    file: ConfigFile,
}

impl Config {
    /// Reads and checks an operators' file.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found, not only the first.
    pub fn parse(text: &str) -> Result<Self, Vec<ConfigFault>> {
        if text.len() > MAX_FILE_BYTES {
            return Err(vec![ConfigFault::TooLarge { len: text.len() }]);
        }
        let file: ConfigFile = toml::from_str(text).map_err(|e| {
            vec![ConfigFault::Syntax {
                message: e.to_string(),
            }]
        })?;
        Self::try_from(file)
    }

    /// Returns the models by name.
    pub fn models(&self) -> &BTreeMap<ModelName, ModelPolicy> {
        &self.file.models
    }

    /// Returns the services by name.
    pub fn services(&self) -> &BTreeMap<ServiceName, ServicePolicy> {
        &self.file.services
    }

    /// Returns the workspaces by name.
    pub fn workspaces(&self) -> &BTreeMap<WorkspaceName, WorkspacePolicy> {
        &self.file.workspaces
    }

    /// Returns the service levels.
    pub fn service_levels(&self) -> &[ServiceLevel] {
        &self.file.service_levels
    }
}

impl TryFrom<ConfigFile> for Config {
    type Error = Vec<ConfigFault>;

    fn try_from(file: ConfigFile) -> Result<Self, Vec<ConfigFault>> {
        let mut faults = Vec::new();
        check_models(&file, &mut faults);
        check_workspaces(&file, &mut faults);
        check_service_levels(&file, &mut faults);
        if faults.is_empty() {
            Ok(Self { file })
        } else {
            Err(faults)
        }
    }
}

fn check_models(file: &ConfigFile, faults: &mut Vec<ConfigFault>) {
    for (name, model) in &file.models {
        if !(1..=MAX_LAYERS).contains(&model.layers) {
            faults.push(ConfigFault::OutOfRange {
                key: format!("models.{name}.layers"),
                value: model.layers.to_string(),
                allowed: format!("1 to {MAX_LAYERS}"),
            });
        }
    }
}

fn check_workspaces(file: &ConfigFile, faults: &mut Vec<ConfigFault>) {
    for (name, workspace) in &file.workspaces {
        if !(1..=MAX_WEIGHT).contains(&workspace.weight) {
            faults.push(ConfigFault::OutOfRange {
                key: format!("workspaces.{name}.weight"),
                value: workspace.weight.to_string(),
                allowed: format!("1 to {MAX_WEIGHT}"),
            });
        }
        if workspace.max_in_flight == 0 {
            faults.push(ConfigFault::OutOfRange {
                key: format!("workspaces.{name}.max_in_flight"),
                value: "0".to_owned(),
                allowed: "1 or more".to_owned(),
            });
        }
        for model in workspace
            .models
            .iter()
            .filter(|m| !file.models.contains_key(*m))
        {
            faults.push(ConfigFault::Undeclared {
                key: format!("workspaces.{name}.models"),
                name: model.to_string(),
            });
        }
        for service in workspace
            .services
            .iter()
            .filter(|s| !file.services.contains_key(*s))
        {
            faults.push(ConfigFault::Undeclared {
                key: format!("workspaces.{name}.services"),
                name: service.to_string(),
            });
        }
    }
}

fn check_service_levels(file: &ConfigFile, faults: &mut Vec<ConfigFault>) {
    for (place, level) in file.service_levels.iter().enumerate() {
        let key = format!("service_levels[{place}]");
        if !(level.target > 0.0 && level.target < 1.0) {
            faults.push(ConfigFault::OutOfRange {
                key: format!("{key}.target"),
                value: level.target.to_string(),
                allowed: "a share above 0 and below 1".to_owned(),
            });
        }
        match (level.objective, level.threshold_ms) {
            (Objective::Success, Some(_)) => faults.push(ConfigFault::Threshold {
                key,
                problem: "has a threshold_ms, which success does not take; remove it",
            }),
            (Objective::Success, None) => {}
            (_, None | Some(0)) => faults.push(ConfigFault::Threshold {
                key,
                problem: "needs a threshold_ms of 1 or more",
            }),
            (_, Some(_)) => {}
        }
        if let Some(name) = &level.workspace
            && !file.workspaces.contains_key(name)
        {
            faults.push(ConfigFault::Undeclared {
                key: format!("service_levels[{place}].workspace"),
                name: name.to_string(),
            });
        }
    }
}
