//! Versioned objects with conditional updates and watches.

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Names an object; parts are separated by `/`.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[schemars(transparent)]
#[serde(transparent)]
pub struct ObjectKey(#[schemars(with = "String")] pub Arc<str>);

impl ObjectKey {
    /// Returns the key as one segment of a URL path.
    pub fn to_path_segment(&self) -> String {
        self.0.replace('/', "%2F")
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An object as the platform holds it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct ObjectRecord {
    /// The object's key.
    pub key: ObjectKey,
    /// Grows with each write of any object; unique to this write.
    pub version: u64,
    /// The content, opaque to the platform, at most a megabyte.
    pub value: String,
}

/// When a write may take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteCondition {
    /// Only when the object does not exist.
    Absent,
    /// Only when the object is at this version.
    Version(u64),
    /// Always.
    Any,
}

/// A conditional write of one object; no value deletes it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectWrite {
    /// When the write may take effect.
    pub condition: WriteCondition,
    /// The new content, or none to delete the object.
    pub value: Option<String>,
}

/// What the platform answers to a write; a conflict is a normal answer (HTTP 200).
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteAnswer {
    /// The write took effect at this version.
    Written(u64),
    /// The condition did not hold; the object as it is now, if it exists.
    Conflict(Option<ObjectRecord>),
}

/// The objects under a prefix that changed after a version.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct WatchPage {
    /// The platform's newest version; the next watch starts after it.
    pub version: u64,
    /// The objects that changed, as they are now, in order of version.
    pub changed: Vec<ObjectRecord>,
}
