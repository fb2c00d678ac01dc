//! Orders to endpoints.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{AdapterName, EntryId, Fence, LayerRange, ModelName, VersionName};

/// A change that a controller orders; it states what shall be, not a step.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing number of the controller's lease.
    pub fence: Fence,
    /// The entry that orders, for the endpoint's log.
    pub from: EntryId,
    /// What shall be.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Hold these layers of this version with these adapters.
    Hold {
        /// The model.
        model: ModelName,
        /// Its version.
        version: VersionName,
        /// The layers.
        layers: LayerRange,
        /// The adapters.
        adapters: Vec<AdapterName>,
    },
    /// Take no new streams.
    Drain,
    /// Take new streams again.
    Undrain,
}

/// Why an endpoint refused an order.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// The order's fencing number is older than one seen before.
    #[error("the fencing number {given} is older than {seen}")]
    OldFence {
        /// The number in the order.
        given: Fence,
        /// The highest number seen.
        seen: Fence,
    },
    /// The accelerator cannot hold that many layers.
    #[error("the accelerator holds {capacity} layers at most")]
    TooManyLayers {
        /// What it can hold.
        capacity: u32,
    },
}
