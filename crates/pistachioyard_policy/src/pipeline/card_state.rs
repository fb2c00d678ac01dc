//! Describes the cards that layers are placed on, and the orders to place them.

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};

use super::spec::Card;

/// Describes a card and the layers that it holds.
#[derive(Clone, Debug)]
pub struct CardState {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its kind.
    pub card: Card,
    /// The layers that it holds or loads.
    pub held: Option<LayerRange>,
    /// Whether it accepts an order now.
    pub takes_orders: bool,
    /// Whether it is loading layers.
    pub is_loading: bool,
    /// Whether its endpoint takes only a limited number of requests a second, which counts where
    /// requests start.
    pub is_limited: bool,
}

/// Describes an order that is due: the layers that an endpoint has to load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerMove {
    /// The endpoint that gets the order.
    pub endpoint: EndpointId,
    /// The layers that it has to hold.
    pub layers: LayerRange,
}
