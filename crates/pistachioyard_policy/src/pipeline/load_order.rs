//! Decides which of the orders that are due come first.
//!
//! Answers the load pattern of a fleet that has lost most of its cards at once: loads
//! that run together slow each other, so with all of them begun at once no data centre
//! would serve before all do. Only as many run as do not slow each other, and they make
//! one data centre whole after the other.

use std::collections::BTreeMap;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};

use super::card_placement::{CardState, LayerMove};
use super::spec::PipelineSpec;

/// Returns the orders to give now, as many as can load beside the loads in progress.
///
/// The others stay due: they are planned anew when a load has ended.
pub fn first_loads(
    spec: &PipelineSpec,
    cards: &[CardState],
    moves: Vec<LayerMove>,
) -> Vec<LayerMove> {
    let loading = cards.iter().filter(|card| card.is_loading).count();
    let most = spec.loads_at_once as usize;
    if most == 0 || loading + moves.len() <= most {
        return moves;
    }
    let mut order = Order::new(spec, cards, moves);
    let mut first = Vec::new();
    while loading + first.len() < most {
        let Some(next) = order.next() else {
            break;
        };
        first.push(next);
    }
    first
}

/// The orders that are not chosen yet, and which layers each data centre holds or loads.
struct Order<'a> {
    places: BTreeMap<&'a EndpointId, &'a DataCentre>,
    held: BTreeMap<&'a DataCentre, Vec<bool>>,
    moves: Vec<LayerMove>,
}

impl<'a> Order<'a> {
    fn new(spec: &PipelineSpec, cards: &'a [CardState], moves: Vec<LayerMove>) -> Self {
        let places = cards.iter().map(|card| (&card.endpoint, &card.data_centre));
        let mut held: BTreeMap<&DataCentre, Vec<bool>> = BTreeMap::new();
        for card in cards {
            let layers = held.entry(&card.data_centre);
            let layers = layers.or_insert_with(|| vec![false; spec.layers as usize]);
            // A card that is ordered elsewhere gives up what it holds.
            let is_moved = moves.iter().any(|order| order.endpoint == card.endpoint);
            if let Some(kept) = card.held.filter(|_| !is_moved) {
                layers[window(kept)].fill(true);
            }
        }
        Self {
            places: places.collect(),
            held,
            moves,
        }
    }

    /// Takes out the order that closes gaps in the data centre that lacks the fewest
    /// layers; those that close none come last.
    fn next(&mut self) -> Option<LayerMove> {
        let rank = |order: &LayerMove| {
            let held = self.held.get(self.places.get(&order.endpoint)?)?;
            let missing = held.iter().filter(|held| !**held).count();
            let closed = held[window(order.layers)].iter().filter(|held| !**held);
            let closed = closed.count();
            Some((closed == 0, missing, std::cmp::Reverse(closed)))
        };
        let ranks = self.moves.iter().enumerate();
        let (at, _) = ranks
            .filter_map(|(at, order)| Some((at, rank(order)?)))
            .min_by_key(|(_, rank)| *rank)?;
        let order = self.moves.remove(at);
        if let Some(held) = self.held.get_mut(self.places.get(&order.endpoint)?) {
            held[window(order.layers)].fill(true);
        }
        Some(order)
    }
}

fn window(layers: LayerRange) -> std::ops::Range<usize> {
    layers.first() as usize..layers.end() as usize
}
