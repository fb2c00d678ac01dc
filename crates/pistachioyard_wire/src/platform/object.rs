//! Versioned objects with conditional writes and watches.

use std::fmt;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The key of an object; its parts are separated by `/`.
#[derive(
    Clone, Debug, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize,
)]
#[schemars(transparent)]
#[serde(transparent)]
pub struct ObjectKey(#[schemars(with = "String")] pub Arc<str>);

impl ObjectKey {
    /// Encodes the key as a single segment of a URL path.
    pub fn to_path_segment(&self) -> String {
        self.0.replace('/', "%2F")
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An object as the platform stores it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct ObjectRecord {
    /// The key of the object.
    pub key: ObjectKey,
    /// The version of the last write; it increases with each write of any object and is
    /// unique to one write.
    pub version: u64,
    /// The content, opaque to the platform and limited to a megabyte.
    pub value: String,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object is at this version.
    Version(u64),
    /// The write is unconditional.
    Any,
}

/// A conditional write of one object; a write without a value deletes the object.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectWrite {
    /// The precondition of the write.
    pub condition: WriteCondition,
    /// The new content, or `None` to delete the object.
    pub value: Option<String>,
}

/// The platform's response to a write; a conflict is also a success (HTTP 200).
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteAnswer {
    /// The write took effect and created this version.
    Written(u64),
    /// The precondition failed; contains the current object, if it exists.
    Conflict(Option<ObjectRecord>),
}

/// The objects under a prefix that changed after a given version.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
pub struct WatchPage {
    /// The newest version on the platform; the next watch starts after it.
    pub version: u64,
    /// The current state of the changed objects, in order of version; deleted objects are
    /// omitted.
    pub changed: Vec<ObjectRecord>,
}
