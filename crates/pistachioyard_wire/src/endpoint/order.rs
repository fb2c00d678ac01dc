//! Orders from controllers to endpoints.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{AdapterName, EntryId, Fence, LayerRange, ModelName, VersionName};

/// An order from a controller; it states the desired state, not a transition.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// The fencing token of the controller's lease.
    pub fence: Fence,
    /// The entry that sends the order, for the log of the endpoint.
    pub from: EntryId,
    /// The desired state.
    pub kind: OrderKind,
}

/// The desired state that an order asks for.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// The endpoint holds these layers of this version with these adapters.
    Hold {
        /// The model to hold.
        model: ModelName,
        /// The version of the model.
        version: VersionName,
        /// The layers to hold.
        layers: LayerRange,
        /// The adapters to load.
        adapters: Vec<AdapterName>,
    },
    /// The endpoint accepts no new streams.
    Drain,
    /// The endpoint accepts new streams again.
    Undrain,
}

/// Reports why an endpoint refused an order.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum OrderRefusal {
    /// The fencing token of the order is older than one that the endpoint has seen.
    #[error("the fencing token {given} is older than {seen}")]
    OldFence {
        /// The fencing token in the order.
        given: Fence,
        /// The highest fencing token that the endpoint has seen.
        seen: Fence,
    },
    /// The order asks for more layers than the accelerator can hold.
    #[error("the accelerator can hold at most {capacity} layers")]
    TooManyLayers {
        /// The maximum number of layers that the accelerator can hold.
        capacity: u32,
    },
}
