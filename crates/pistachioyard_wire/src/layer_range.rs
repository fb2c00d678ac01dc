//! Contiguous ranges of a model's layers.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Reports that two numbers do not form a layer range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the layer range {first}..{end} is empty; expected an end greater than the first layer")]
pub struct LayerRangeError {
    /// The first layer that was given.
    pub first: u32,
    /// The end that was given.
    pub end: u32,
}

/// A non-empty range of layers, from `first` inclusive to `end` exclusive.
///
/// # Examples
///
/// ```
/// use pistachioyard_wire::LayerRange;
///
/// let range = LayerRange::new(0, 16)?;
/// assert_eq!(range.len(), 16);
/// assert!(LayerRange::new(16, 16).is_err());
/// # Ok::<(), pistachioyard_wire::LayerRangeError>(())
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "[u32; 2]", try_from = "[u32; 2]")]
pub struct LayerRange {
    first: u32,
    end: u32,
}

#[expect(clippy::len_without_is_empty, reason = "a layer range is never empty")]
impl LayerRange {
    /// A placeholder for all layers of a model, for endpoints that hold whole models.
    pub const WHOLE: Self = Self { first: 0, end: 1 };

    /// Creates the range `first..end`.
    ///
    /// # Errors
    ///
    /// Returns an error if the range is empty.
    pub fn new(first: u32, end: u32) -> Result<Self, LayerRangeError> {
        if first < end {
            Ok(Self { first, end })
        } else {
            Err(LayerRangeError { first, end })
        }
    }

    /// Returns the first layer of the range.
    pub fn first(self) -> u32 {
        self.first
    }

    /// Returns the exclusive end of the range.
    pub fn end(self) -> u32 {
        self.end
    }

    /// Returns the number of layers in the range.
    pub fn len(self) -> u32 {
        self.end - self.first
    }

    /// Returns whether this range contains every layer of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}

impl TryFrom<[u32; 2]> for LayerRange {
    type Error = LayerRangeError;

    fn try_from([first, end]: [u32; 2]) -> Result<Self, LayerRangeError> {
        Self::new(first, end)
    }
}

impl From<LayerRange> for [u32; 2] {
    fn from(range: LayerRange) -> Self {
        [range.first, range.end]
    }
}

impl fmt::Debug for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}
