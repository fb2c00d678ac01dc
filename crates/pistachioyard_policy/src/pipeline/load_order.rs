//! Selects which of the due load orders are given first.
//!
//! This matters after most cards are lost at once. Loads that run together slow each other
//! down, so if all loads started at once, no data centre could serve requests until almost all
//! of them were done. Therefore the number of parallel loads is limited to what does not slow
//! them down, and they complete one data centre after the other.

use std::collections::BTreeMap;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};

use super::card_state::{CardState, LayerMove};
use super::spec::PipelineSpec;

/// Returns the orders to give now, as many as can load beside the loads in progress.
///
/// The others stay due and are planned again when a load has ended.
pub fn loads_to_start(
    spec: &PipelineSpec,
    cards: &[CardState],
    moves: Vec<LayerMove>,
) -> Vec<LayerMove> {
    let loading = cards.iter().filter(|card| card.is_loading).count();
    let limit = spec.loads_at_once as usize;
    if limit == 0 || loading + moves.len() <= limit {
        return moves;
    }
    let mut pending = PendingLoads::new(spec, cards, moves);
    let mut selected = Vec::new();
    while loading + selected.len() < limit {
        let Some(next) = pending.take_next() else {
            break;
        };
        selected.push(next);
    }
    selected
}

/// Holds the orders that are not selected yet, and the layers that each data centre holds
/// or loads.
struct PendingLoads<'a> {
    data_centres: BTreeMap<&'a EndpointId, &'a DataCentre>,
    held: BTreeMap<&'a DataCentre, Vec<bool>>,
    moves: Vec<LayerMove>,
}

impl<'a> PendingLoads<'a> {
    fn new(spec: &PipelineSpec, cards: &'a [CardState], moves: Vec<LayerMove>) -> Self {
        let data_centres = cards.iter().map(|card| (&card.endpoint, &card.data_centre));
        let mut held: BTreeMap<&DataCentre, Vec<bool>> = BTreeMap::new();
        for card in cards {
            let layers = held.entry(&card.data_centre);
            let layers = layers.or_insert_with(|| vec![false; spec.layers as usize]);
            // A card that gets an order for other layers gives up the ones that it holds.
            let is_moved = moves.iter().any(|order| order.endpoint == card.endpoint);
            if let Some(kept) = card.held.filter(|_| !is_moved) {
                layers[index_range(kept)].fill(true);
            }
        }
        Self {
            data_centres: data_centres.collect(),
            held,
            moves,
        }
    }

    /// Removes and returns the order that closes gaps in the data centre that lacks the
    /// fewest layers; orders that close no gap come last.
    fn take_next(&mut self) -> Option<LayerMove> {
        let rank = |order: &LayerMove| {
            let held = self.held.get(self.data_centres.get(&order.endpoint)?)?;
            let missing = held.iter().filter(|held| !**held).count();
            let closed = held[index_range(order.layers)]
                .iter()
                .filter(|held| !**held);
            let closed = closed.count();
            Some((closed == 0, missing, std::cmp::Reverse(closed)))
        };
        let ranks = self.moves.iter().enumerate();
        let (at, _) = ranks
            .filter_map(|(at, order)| Some((at, rank(order)?)))
            .min_by_key(|(_, rank)| *rank)?;
        let order = self.moves.remove(at);
        if let Some(held) = self.held.get_mut(self.data_centres.get(&order.endpoint)?) {
            held[index_range(order.layers)].fill(true);
        }
        Some(order)
    }
}

fn index_range(layers: LayerRange) -> std::ops::Range<usize> {
    layers.first() as usize..layers.end() as usize
}
