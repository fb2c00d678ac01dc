//! A contiguous range of a model's layers.

use std::fmt;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Why two numbers are not a layer range.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the layer range {first}..{end} is empty; its end must be above its first layer")]
pub struct LayerRangeFault {
    /// The first layer as given.
    pub first: u32,
    /// The end as given.
    pub end: u32,
}

/// The layers from `first` up to, not including, `end`; never empty.
///
/// # Examples
///
/// ```
/// use pistachioyard_wire::LayerRange;
///
/// let range = LayerRange::new(0, 16)?;
/// assert_eq!(range.len(), 16);
/// assert!(LayerRange::new(16, 16).is_err());
/// # Ok::<(), pistachioyard_wire::LayerRangeFault>(())
/// ```
#[derive(Clone, Copy, Deserialize, Eq, Hash, JsonSchema, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "[u32; 2]", try_from = "[u32; 2]")]
pub struct LayerRange {
    first: u32,
    end: u32,
}

#[expect(clippy::len_without_is_empty, reason = "a layer range is never empty")]
impl LayerRange {
    /// Stands for all layers where an endpoint holds a model whole.
    pub const WHOLE: Self = Self { first: 0, end: 1 };

    /// Makes a range of the layers `first..end`.
    ///
    /// # Errors
    ///
    /// Fails when the range would be empty.
    pub fn new(first: u32, end: u32) -> Result<Self, LayerRangeFault> {
        if first < end {
            Ok(Self { first, end })
        } else {
            Err(LayerRangeFault { first, end })
        }
    }

    /// Returns the first layer of the range.
    pub fn first(self) -> u32 {
        self.first
    }

    /// Returns the layer after the last one of the range.
    pub fn end(self) -> u32 {
        self.end
    }

    /// Returns the number of layers.
    pub fn len(self) -> u32 {
        self.end - self.first
    }

    /// Tells whether every layer of `other` is in this range.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}

impl TryFrom<[u32; 2]> for LayerRange {
    type Error = LayerRangeFault;

    fn try_from([first, end]: [u32; 2]) -> Result<Self, LayerRangeFault> {
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
