//! Decides which layers each card holds.
//!
//! Answers the load pattern of a fleet that has lost cards while it is busy: every
//! data centre holds all layers by itself, so that requests need no pipe between
//! data centres, and memory is kept free for the requests that the loss of a data
//! centre would bring. A gap is closed by an empty card, else by a card that holds
//! what others hold too, else by a neighbour that grows.

use std::collections::BTreeMap;

use pistachioyard_wire::{DataCentre, EndpointId, LayerRange};

use super::spec::{Card, PipelineSpec};

/// A card and what it holds.
#[derive(Clone, Debug)]
pub struct CardState {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// What it is.
    pub card: Card,
    /// The layers that it holds or loads.
    pub held: Option<LayerRange>,
    /// Whether it can be given an order now.
    pub takes_orders: bool,
}

/// An order that is due.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerMove {
    /// The endpoint that gets it.
    pub endpoint: EndpointId,
    /// The layers that it shall hold.
    pub layers: LayerRange,
}

/// The least tokens of requests that a card which grows keeps room for, as a share
/// of the wanted ones.
const GROWN_TOKEN_SHARE: f64 = 0.35;
/// The steps in which the tokens to keep room for are lowered until all layers fit.
const TOKEN_STEP: f64 = 0.97;

/// Decides which orders are due, so that every data centre that can holds all layers.
///
/// `wanted_tokens` are the tokens of requests that each card shall have room for;
/// fewer are kept free where the layers would not fit otherwise.
pub fn plan_cards(spec: &PipelineSpec, cards: &[CardState], wanted_tokens: f64) -> Vec<LayerMove> {
    let mut moves = Vec::new();
    for group in groups(spec, cards) {
        let mut plan = GroupPlan::new(spec, group, wanted_tokens);
        plan.fill_empty_cards();
        plan.close_gaps();
        moves.extend(plan.moves);
    }
    moves
}

/// Splits the cards by data centre; those that can't hold all layers form one group.
fn groups<'a>(spec: &PipelineSpec, cards: &'a [CardState]) -> Vec<Vec<&'a CardState>> {
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&CardState>> = BTreeMap::new();
    for card in cards {
        by_data_centre
            .entry(&card.data_centre)
            .or_default()
            .push(card);
    }
    let fits = |group: &Vec<&CardState>| {
        let most: u32 = group.iter().map(|c| spec.max_layers(&c.card)).sum();
        most >= spec.layers
    };
    let (mut whole, partial): (Vec<_>, Vec<_>) = by_data_centre.into_values().partition(fits);
    let rest: Vec<&CardState> = partial.into_iter().flatten().collect();
    if !rest.is_empty() {
        whole.push(rest);
    }
    whole
}

/// The plan for one group of cards.
struct GroupPlan<'a> {
    spec: &'a PipelineSpec,
    cards: Vec<&'a CardState>,
    held: Vec<Option<LayerRange>>,
    /// The tokens that each card keeps room for.
    tokens: f64,
    wanted_tokens: f64,
    moves: Vec<LayerMove>,
}

impl<'a> GroupPlan<'a> {
    fn new(spec: &'a PipelineSpec, mut cards: Vec<&'a CardState>, wanted_tokens: f64) -> Self {
        // Fast cards come first, since each layer that they hold is a layer less for slow ones.
        cards.sort_by(|a, b| {
            let by_pace = a.card.step_factor.total_cmp(&b.card.step_factor);
            by_pace.then_with(|| a.endpoint.cmp(&b.endpoint))
        });
        let held = cards.iter().map(|card| card.held).collect();
        let mut plan = Self {
            spec,
            cards,
            held,
            tokens: wanted_tokens,
            wanted_tokens,
            moves: Vec::new(),
        };
        plan.lower_tokens_until_layers_fit();
        plan
    }

    fn lower_tokens_until_layers_fit(&mut self) {
        let most: u32 = self
            .cards
            .iter()
            .map(|c| self.spec.max_layers(&c.card))
            .sum();
        let needed = self.spec.layers.min(most);
        while self.tokens > 1.0 && self.total_layers() < needed {
            self.tokens *= TOKEN_STEP;
        }
    }

    fn total_layers(&self) -> u32 {
        let layers = self
            .cards
            .iter()
            .map(|c| self.spec.layers_beside(&c.card, self.tokens));
        layers.sum()
    }

    /// Counts the cards that hold each layer.
    fn cover(&self) -> Vec<u32> {
        let mut cover = vec![0; self.spec.layers as usize];
        for range in self.held.iter().flatten() {
            for layer in range.first()..range.end().min(self.spec.layers) {
                cover[layer as usize] += 1;
            }
        }
        cover
    }

    fn assign(&mut self, at: usize, layers: LayerRange) {
        self.held[at] = Some(layers);
        self.moves.retain(|m| m.endpoint != self.cards[at].endpoint);
        self.moves.push(LayerMove {
            endpoint: self.cards[at].endpoint.clone(),
            layers,
        });
    }

    fn fill_empty_cards(&mut self) {
        for at in 0..self.cards.len() {
            if self.held[at].is_some() || !self.cards[at].takes_orders {
                continue;
            }
            let size = self.spec.layers_beside(&self.cards[at].card, self.tokens);
            if let Some(layers) = self.weakest_window(size) {
                self.assign(at, layers);
            }
        }
    }

    /// Finds the run of `size` layers that most needs another holder: the first gap,
    /// else the layers with the fewest holders.
    fn weakest_window(&self, size: u32) -> Option<LayerRange> {
        let size = size.min(self.spec.layers);
        if size == 0 {
            return None;
        }
        let cover = self.cover();
        if let Some(gap) = cover.iter().position(|holders| *holders == 0) {
            let first = (gap as u32).min(self.spec.layers - size);
            return LayerRange::new(first, first + size).ok();
        }
        let load = |first: u32| -> u32 {
            let window = &cover[first as usize..(first + size) as usize];
            window.iter().map(|holders| holders * holders).sum()
        };
        let first = (0..=self.spec.layers - size).min_by_key(|first| load(*first))?;
        LayerRange::new(first, first + size).ok()
    }

    fn close_gaps(&mut self) {
        while let Some(gap) = self.first_gap() {
            let closed = self.move_spare_card(gap) || self.grow_neighbour(gap);
            if !closed {
                break;
            }
        }
    }

    fn first_gap(&self) -> Option<LayerRange> {
        let cover = self.cover();
        let first = cover.iter().position(|holders| *holders == 0)?;
        let len = cover[first..]
            .iter()
            .take_while(|holders| **holders == 0)
            .count();
        LayerRange::new(first as u32, (first + len) as u32).ok()
    }

    /// Gives the gap to a card whose layers all have another holder.
    fn move_spare_card(&mut self, gap: LayerRange) -> bool {
        let cover = self.cover();
        let is_spare = |range: LayerRange| {
            let layers = &cover[range.first() as usize..range.end() as usize];
            layers.iter().all(|holders| *holders > 1)
        };
        let spare = (0..self.cards.len()).rev().find(|at| {
            let card = self.cards[*at];
            let movable = card.takes_orders && card.held == self.held[*at];
            movable && self.held[*at].is_some_and(is_spare)
        });
        let Some(at) = spare else {
            return false;
        };
        let size = self
            .spec
            .layers_beside(&self.cards[at].card, self.tokens)
            .max(1);
        let first = gap.first().min(self.spec.layers.saturating_sub(size));
        let Ok(layers) = LayerRange::new(first, (first + size).min(self.spec.layers)) else {
            return false;
        };
        self.assign(at, layers);
        true
    }

    /// Lets a card that ends or begins at the gap grow into it.
    fn grow_neighbour(&mut self, gap: LayerRange) -> bool {
        let grown = (0..self.cards.len()).filter_map(|at| {
            let card = self.cards[at];
            let held = self.held[at].filter(|_| card.takes_orders)?;
            let least_tokens = self.wanted_tokens.min(self.tokens) * GROWN_TOKEN_SHARE;
            let most = self.spec.layers_beside(&card.card, least_tokens);
            let room = most.checked_sub(held.len()).filter(|room| *room > 0)?;
            let part = room.min(gap.len());
            let layers = if held.end() == gap.first() {
                LayerRange::new(held.first(), held.end() + part)
            } else if held.first() == gap.end() {
                LayerRange::new(held.first() - part, held.end())
            } else {
                return None;
            };
            Some((at, part, layers.ok()?))
        });
        let Some((at, _, layers)) = grown.max_by_key(|(_, part, _)| *part) else {
            return false;
        };
        self.assign(at, layers);
        true
    }
}
