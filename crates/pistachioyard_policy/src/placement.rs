//! Placement: which endpoint holds which layers of which model version.
//!
//! Placement first repairs coverage, because a model with one uncovered layer
//! serves nobody. It then raises the least capacity over the layers. Each
//! change loads weights and takes an endpoint out of service for a while, so
//! few are made at a time (`docs/design/placement.md`).

mod greedy;
mod layer_capacity;
mod load_pacer;
mod rollout;
mod serving;

use pistachioyard_wire::{AdapterName, DataCentre, EndpointId, LayerRange, ModelName, VersionName};

pub use greedy::place;
pub use load_pacer::LoadPacer;
pub use rollout::next_rollout_step;
pub use serving::serving_version;

/// What an endpoint holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Held {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: VersionName,
    /// The layers.
    pub layers: LayerRange,
}

/// An endpoint that layers can be placed on.
#[derive(Clone, Debug)]
pub struct PlacementEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// The layers times tokens that its accelerator runs in a second.
    pub layer_tokens_per_second: f64,
    /// The most layers that it can hold.
    pub layer_capacity: u32,
    /// The data centre that it stands in.
    pub data_centre: DataCentre,
    /// What it holds or is loading now.
    pub current: Option<Held>,
    /// Whether it may get orders: it is neither leaving nor dead.
    pub usable: bool,
    /// Whether it is loading what `current` names and cannot run it yet.
    pub loading: bool,
}

impl PlacementEndpoint {
    /// Tells whether it may be ordered to hold something else now.
    pub(crate) fn takes_orders(&self) -> bool {
        self.usable && !self.loading && self.layer_capacity > 0
    }

    /// Returns its token rate when it holds a number of layers.
    pub(crate) fn rate(&self, layers: u32) -> f64 {
        self.layer_tokens_per_second / f64::from(layers.max(1))
    }
}

/// A model version to place.
#[derive(Clone, Debug)]
pub struct PlacementModel {
    /// The model.
    pub name: ModelName,
    /// The version.
    pub version: VersionName,
    /// The number of its layers.
    pub layers: u32,
    /// Its share of the capacity relative to the other models.
    pub weight: f64,
    /// The adapters that its holders load.
    pub adapters: Vec<AdapterName>,
}

impl PlacementModel {
    /// Tells whether what is held is of this model version.
    pub(crate) fn is_held_as(&self, held: &Held) -> bool {
        held.model == self.name && held.version == self.version
    }

    /// Makes the hold of a range of its layers.
    pub(crate) fn hold(&self, layers: LayerRange) -> Held {
        Held {
            model: self.name.clone(),
            version: self.version.clone(),
            layers,
        }
    }
}

/// What a placement is decided on.
#[derive(Clone, Debug, Default)]
pub struct PlacementInput {
    /// The endpoints.
    pub endpoints: Vec<PlacementEndpoint>,
    /// The model versions.
    pub models: Vec<PlacementModel>,
}

/// A change that an endpoint is to be ordered to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it shall hold.
    pub hold: Held,
}
