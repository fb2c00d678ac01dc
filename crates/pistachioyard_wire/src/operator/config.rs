//! The validated configuration.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::ConfigFile;
use crate::{AdapterName, CallName, ModelName, ServiceName, VersionName, WorkspaceName};

/// The maximum number of layers of a model.
const MAX_LAYERS: u32 = 1_024;
/// The maximum weight of a workspace.
const MAX_WEIGHT: u32 = 1_000;
/// The maximum size of a configuration file, in bytes; the object API limits objects
/// to a megabyte.
const MAX_FILE_BYTES: usize = 900_000;

/// The scheduling priority of a request; values are listed from most to least urgent.
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
    /// Runs before all other work.
    High,
    /// The default priority.
    #[default]
    Normal,
    /// Uses the capacity that other priorities leave idle.
    Low,
}

impl Priority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::High, Self::Normal, Self::Low];

    /// Returns the name of the priority in configuration files and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::High => "high",
            Self::Normal => "normal",
            Self::Low => "low",
        }
    }
}

/// The configuration of a served model.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelPolicy {
    /// The number of layers of the model.
    pub layers: u32,
    /// The version to serve.
    pub version: VersionName,
    /// The adapters that requests may select.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
}

/// The configured share and limits of a workspace.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspacePolicy {
    /// The share of the workspace relative to the other workspaces.
    pub weight: u32,
    /// The maximum number of its requests in flight over all entries.
    pub max_in_flight: u32,
    /// The priority of its requests that specify none.
    #[serde(default)]
    pub priority: Priority,
    /// The models that the workspace may use.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// The services that the workspace may use.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// The configuration of one call of a service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallPolicy {
    /// Whether the call is idempotent and may be retried.
    pub repeatable: bool,
}

/// The calls of a service by name.
pub type ServicePolicy = BTreeMap<CallName, CallPolicy>;

/// The quantity that a service level measures.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// The time from a request's arrival to its first token.
    FirstToken,
    /// The time between consecutive tokens.
    BetweenTokens,
    /// The share of successful requests among all that were not refused as malformed.
    Success,
    /// The time from the loss of a stage to the next token of the stream.
    Recovery,
}

/// A service level to measure and report.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// The quantity to measure.
    pub objective: Objective,
    /// The threshold, in milliseconds; absent for the objective `success`.
    #[serde(default)]
    pub threshold_ms: Option<u64>,
    /// The share of events that must be good, above 0 and below 1.
    pub target: f64,
    /// The workspace that the level applies to; all workspaces if absent.
    #[serde(default)]
    pub workspace: Option<WorkspaceName>,
    /// The priority that the level applies to; all priorities if absent.
    #[serde(default)]
    pub priority: Option<Priority>,
}

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The text is not valid TOML or does not have the expected structure.
    #[error("cannot parse the file: {message}")]
    Syntax {
        /// The parser's message, with the position in the file.
        message: String,
    },
    /// The text exceeds the size that the object API can store.
    #[error("the file has {len} bytes; at most {MAX_FILE_BYTES} are allowed")]
    TooLarge {
        /// The size of the text, in bytes.
        len: usize,
    },
    /// A number is out of range.
    #[error("{key} is {value}; expected {allowed}")]
    OutOfRange {
        /// The path of the key in the file.
        key: String,
        /// The value in the file.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
    /// A key refers to a name that the file does not declare.
    #[error("{key} names '{name}', which the file does not declare; declare it or remove the name")]
    Undeclared {
        /// The path of the key in the file.
        key: String,
        /// The undeclared name.
        name: String,
    },
    /// A service level lacks a threshold or has one that its objective does not use.
    #[error("{key} {problem}")]
    Threshold {
        /// The path of the key in the file.
        key: String,
        /// What is wrong and how to correct it.
        problem: &'static str,
    },
}

/// A validated configuration, whose cross-references all resolve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    file: ConfigFile,
}

impl Config {
    /// Parses and validates a configuration file.
    ///
    /// # Errors
    ///
    /// Returns every error that was found, not only the first.
    pub fn parse(text: &str) -> Result<Self, Vec<ConfigError>> {
        if text.len() > MAX_FILE_BYTES {
            return Err(vec![ConfigError::TooLarge { len: text.len() }]);
        }
        let file: ConfigFile = toml::from_str(text).map_err(|e| {
            vec![ConfigError::Syntax {
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
    type Error = Vec<ConfigError>;

    fn try_from(file: ConfigFile) -> Result<Self, Vec<ConfigError>> {
        let mut errors = Vec::new();
        check_models(&file, &mut errors);
        check_workspaces(&file, &mut errors);
        check_service_levels(&file, &mut errors);
        if errors.is_empty() {
            Ok(Self { file })
        } else {
            Err(errors)
        }
    }
}

fn check_models(file: &ConfigFile, errors: &mut Vec<ConfigError>) {
    for (name, model) in &file.models {
        if !(1..=MAX_LAYERS).contains(&model.layers) {
            errors.push(ConfigError::OutOfRange {
                key: format!("models.{name}.layers"),
                value: model.layers.to_string(),
                allowed: format!("1 to {MAX_LAYERS}"),
            });
        }
    }
}

fn check_workspaces(file: &ConfigFile, errors: &mut Vec<ConfigError>) {
    for (name, workspace) in &file.workspaces {
        if !(1..=MAX_WEIGHT).contains(&workspace.weight) {
            errors.push(ConfigError::OutOfRange {
                key: format!("workspaces.{name}.weight"),
                value: workspace.weight.to_string(),
                allowed: format!("1 to {MAX_WEIGHT}"),
            });
        }
        if workspace.max_in_flight == 0 {
            errors.push(ConfigError::OutOfRange {
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
            errors.push(ConfigError::Undeclared {
                key: format!("workspaces.{name}.models"),
                name: model.to_string(),
            });
        }
        for service in workspace
            .services
            .iter()
            .filter(|s| !file.services.contains_key(*s))
        {
            errors.push(ConfigError::Undeclared {
                key: format!("workspaces.{name}.services"),
                name: service.to_string(),
            });
        }
    }
}

fn check_service_levels(file: &ConfigFile, errors: &mut Vec<ConfigError>) {
    for (index, level) in file.service_levels.iter().enumerate() {
        let key = format!("service_levels[{index}]");
        if !(level.target > 0.0 && level.target < 1.0) {
            errors.push(ConfigError::OutOfRange {
                key: format!("{key}.target"),
                value: level.target.to_string(),
                allowed: "a share above 0 and below 1".to_owned(),
            });
        }
        match (level.objective, level.threshold_ms) {
            (Objective::Success, Some(_)) => errors.push(ConfigError::Threshold {
                key,
                problem: "has a threshold_ms, which objective 'success' does not use; remove it",
            }),
            (Objective::Success, None) => {}
            (_, None | Some(0)) => errors.push(ConfigError::Threshold {
                key,
                problem: "needs a threshold_ms of 1 or more",
            }),
            (_, Some(_)) => {}
        }
        if let Some(name) = &level.workspace
            && !file.workspaces.contains_key(name)
        {
            errors.push(ConfigError::Undeclared {
                key: format!("service_levels[{index}].workspace"),
                name: name.to_string(),
            });
        }
    }
}
