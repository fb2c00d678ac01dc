//! Placement: which endpoint holds which layers of which model version.
//!
//! Placement first repairs coverage, because a model with one uncovered layer cannot
//! serve any request. It then raises the minimum capacity over the layers. Each change
//! loads weights and takes an endpoint out of service meanwhile, so only a few are
//! made at a time (`docs/design/placement.md`).

mod greedy;
mod layer_capacity;
mod load_pacer;
mod rollout;
mod serving;

use pistachioyard_wire::{AdapterName, DataCentre, EndpointId, LayerRange, ModelName, VersionName};

pub use greedy::plan_placement;
pub use load_pacer::LoadPacer;
pub use rollout::next_rollout_step;
pub use serving::serving_version;

/// A range of layers of a model version that an endpoint holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLayers {
    /// The model.
    pub model: ModelName,
    /// The version of the model.
    pub version: VersionName,
    /// The range of layers.
    pub layers: LayerRange,
}

/// An endpoint that layers can be placed on.
#[derive(Clone, Debug)]
pub struct PlacementEndpoint {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The speed of its accelerator, in layers times tokens per second.
    pub layer_tokens_per_second: f64,
    /// The maximum number of layers that it can hold.
    pub layer_capacity: u32,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The layers that it holds or is loading now.
    pub current: Option<HeldLayers>,
    /// Whether it may get orders, that is, it is neither leaving nor dead.
    pub usable: bool,
    /// Whether it is still loading `current` and cannot run it yet.
    pub loading: bool,
}

impl PlacementEndpoint {
    /// Returns whether the endpoint may be ordered to hold other layers now.
    pub(crate) fn takes_orders(&self) -> bool {
        self.usable && !self.loading && self.layer_capacity > 0
    }

    /// Returns the endpoint's tokens per second if it holds that many layers.
    pub(crate) fn rate(&self, layers: u32) -> f64 {
        self.layer_tokens_per_second / f64::from(layers.max(1))
    }
}

/// A model version to place.
#[derive(Clone, Debug)]
pub struct PlacementModel {
    /// The name of the model.
    pub name: ModelName,
    /// The version.
    pub version: VersionName,
    /// The number of layers.
    pub layers: u32,
    /// Its share of the capacity relative to the other models.
    pub weight: f64,
    /// The adapters that endpoints with this model load.
    pub adapters: Vec<AdapterName>,
}

impl PlacementModel {
    /// Returns whether the held layers belong to this model version.
    pub(crate) fn matches(&self, held: &HeldLayers) -> bool {
        held.model == self.name && held.version == self.version
    }

    /// Returns a range of layers of this model version as held layers.
    pub(crate) fn hold(&self, layers: LayerRange) -> HeldLayers {
        HeldLayers {
            model: self.name.clone(),
            version: self.version.clone(),
            layers,
        }
    }
}

/// The input of the placement decision.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput {
    /// The endpoints that layers can be placed on.
    pub endpoints: Vec<PlacementEndpoint>,
    /// The model versions to place.
    pub models: Vec<PlacementModel>,
}

/// A change of placement, to be sent to an endpoint as an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers that it is to hold.
    pub hold: HeldLayers,
}
