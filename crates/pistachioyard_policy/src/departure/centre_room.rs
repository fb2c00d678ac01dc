//! Measures the memory of a data centre at its scarcest layer.

use pistachioyard_wire::{DataCentre, EndpointId};

use crate::pipeline::{PipelineSpec, StageOffer};

/// Holds the memory of a data centre's endpoints at its scarcest layer, in tokens over all layers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CentreRoom {
    /// The memory that its endpoints have.
    pub capacity: f64,
    /// The part of it that its own callers do not use.
    pub unused_by_own: f64,
    /// The tokens that its own callers use, on average over the layers.
    pub own_tokens: f64,
    /// The share that all callers use.
    pub fill: f64,
}

impl CentreRoom {
    /// Measures the endpoints of a data centre. `own_use` is the number of token-layers that the
    /// data centre's own callers use at an endpoint.
    ///
    /// A data centre that lacks a layer has no room.
    pub fn measure(
        spec: &PipelineSpec,
        offers: &[StageOffer],
        centre: &DataCentre,
        own_use: impl Fn(&EndpointId) -> f64,
    ) -> Self {
        let mut layers = vec![Layer::default(); spec.layers as usize];
        let mut own_token_layers = 0.0;
        for offer in offers.iter().filter(|o| o.data_centre == *centre) {
            let held = f64::from(offer.layers.len().max(1));
            let own = own_use(&offer.endpoint);
            own_token_layers += own;
            let capacity = spec.token_layer_capacity(&offer.card, offer.layers.len());
            for layer in offer.layers.first()..offer.layers.end() {
                let Some(layer) = layers.get_mut(layer as usize) else {
                    break;
                };
                layer.capacity += capacity / held;
                layer.used += offer.token_layers / held;
                layer.used_by_own += own / held;
            }
        }
        let least = |value: fn(&Layer) -> f64| {
            let values = layers.iter().map(value);
            values.min_by(f64::total_cmp).unwrap_or_default().max(0.0)
        };
        Self {
            capacity: least(|layer| layer.capacity),
            unused_by_own: least(|layer| layer.capacity - layer.used_by_own),
            own_tokens: own_token_layers / f64::from(spec.layers.max(1)),
            fill: 1.0 - least(Layer::free_share),
        }
    }
}

/// Holds the memory of the endpoints that hold a layer, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Layer {
    capacity: f64,
    used: f64,
    used_by_own: f64,
}

impl Layer {
    fn free_share(&self) -> f64 {
        match self.capacity > 0.0 {
            true => 1.0 - self.used / self.capacity,
            false => 0.0,
        }
    }
}
