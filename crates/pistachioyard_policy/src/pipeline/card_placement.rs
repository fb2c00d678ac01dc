//! Decides which layers each card holds.
//!
//! Answers the load pattern of a fleet that has lost cards while it is busy: every
//! data centre holds all layers by itself, so that requests need no pipe between
//! data centres, and memory is kept free for the requests that the loss of a data
//! centre would bring. What memory is left goes to cards in pairs that hold the same
//! layers: when one of them is lost, the other takes over its requests at once, and
//! until then each carries half of them, so it needs room for half as many. Where there
//! are cards for two copies of all layers with room to spare, each keeps it. A gap is
//! closed by an empty card, else by a card that holds what others hold too, else by a
//! neighbour that grows.

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
    /// Whether it is loading layers.
    pub is_loading: bool,
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
/// The part of the tokens to keep room for below which a layer's holders lack room; a
/// single holder has all of it and one that is left of a pair about half.
const ENOUGH_ROOM: f64 = 0.8;
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
        plan.lay_out();
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

    /// Returns the layers of a card that carries all requests of its data centre.
    fn single_size(&self, at: usize) -> u32 {
        let card = &self.cards[at].card;
        self.spec.layers_beside(card, self.tokens)
    }

    /// Returns the layers of a card that shares the requests with another one.
    fn paired_size(&self, at: usize) -> u32 {
        let card = &self.cards[at].card;
        self.spec.layers_beside(card, self.tokens / 2.0)
    }

    /// Tells whether the cards are too few for two copies of all layers that each have
    /// room for all requests.
    fn shares_room(&self) -> bool {
        self.total_layers() < 2 * self.spec.layers
    }

    /// Gives a group that holds nothing yet all layers, over as many pairs as fit.
    fn lay_out(&mut self) {
        let is_empty = self.held.iter().all(Option::is_none);
        if !is_empty || !self.shares_room() || !self.cards.iter().all(|card| card.takes_orders) {
            return;
        }
        let mut next = 0;
        for (members, size) in self.pairs_and_singles() {
            if next >= self.spec.layers || size == 0 {
                break;
            }
            let first = next.min(self.spec.layers.saturating_sub(size));
            let Ok(layers) = LayerRange::new(first, (first + size).min(self.spec.layers)) else {
                break;
            };
            for at in members {
                self.assign(at, layers);
            }
            next = layers.end();
        }
    }

    /// Divides the cards into pairs of one kind, as many as leave all layers held, and
    /// singles; with the layers of each, in the order of the cards.
    fn pairs_and_singles(&self) -> Vec<(Vec<usize>, u32)> {
        let mut free: Vec<Vec<usize>> = Vec::new();
        for at in 0..self.cards.len() {
            let card = self.cards[at].card;
            match free.iter_mut().find(|c| self.cards[c[0]].card == card) {
                Some(of_kind) => of_kind.push(at),
                None => free.push(vec![at]),
            }
        }
        // A pair of the kind that loses the fewest layers by it comes first.
        let loss = |at: usize| (2 * self.single_size(at)).saturating_sub(self.paired_size(at));
        free.sort_by_key(|of_kind| loss(of_kind[0]));
        let singles = (0..self.cards.len()).map(|at| self.single_size(at));
        let mut spare = singles.sum::<u32>().saturating_sub(self.spec.layers);
        let mut groups = Vec::new();
        for mut of_kind in free {
            let (loss, size) = (loss(of_kind[0]), self.paired_size(of_kind[0]));
            while of_kind.len() > 1 && loss <= spare {
                spare -= loss;
                let members = of_kind.split_off(of_kind.len() - 2);
                groups.push((members, size));
            }
            let singles = of_kind.into_iter();
            groups.extend(singles.map(|at| (vec![at], self.single_size(at))));
        }
        groups.sort_by_key(|(members, _)| members[0]);
        groups
    }

    fn fill_empty_cards(&mut self) {
        for at in 0..self.cards.len() {
            if self.held[at].is_some() || !self.cards[at].takes_orders {
                continue;
            }
            if let Some(layers) = self.weakest_window(at) {
                self.assign(at, layers);
            }
        }
    }

    /// Finds the layers that most need another holder: the first gap, else those whose
    /// holders lack room for requests, as after the loss of one of a pair, else those by
    /// which the most cards get another holder for all that they hold, else those with
    /// the fewest holders.
    fn weakest_window(&self, at: usize) -> Option<LayerRange> {
        let single = self.single_size(at).min(self.spec.layers);
        if single == 0 {
            return None;
        }
        let cover = self.cover();
        if let Some(gap) = cover.iter().position(|holders| *holders == 0) {
            let first = (gap as u32).min(self.spec.layers - single);
            return LayerRange::new(first, first + single).ok();
        }
        let shared = if self.shares_room() {
            self.paired_size(at).min(self.spec.layers)
        } else {
            single
        };
        let windows = [single, shared].into_iter().flat_map(|size| {
            (0..=self.spec.layers - size)
                .filter_map(move |first| LayerRange::new(first, first + size).ok())
        });
        let lacks_room: Vec<bool> = (0..self.spec.layers).map(|l| self.lacks_room(l)).collect();
        windows.max_by_key(|layers| {
            let range = layers.first() as usize..layers.end() as usize;
            let relieved = lacks_room[range.clone()].iter().filter(|lacks| **lacks);
            let load: u32 = cover[range].iter().map(|holders| holders * holders).sum();
            let per_layer = load * self.spec.layers / layers.len();
            (
                relieved.count(),
                self.backed_up(&cover, *layers),
                std::cmp::Reverse(per_layer),
            )
        })
    }

    /// Tells whether the holders of a layer have too little room for the requests of
    /// their data centre.
    fn lacks_room(&self, layer: u32) -> bool {
        let rooms = self
            .held
            .iter()
            .zip(&self.cards)
            .filter_map(|(held, card)| {
                let held = held.filter(|held| held.first() <= layer && layer < held.end())?;
                let room = self.spec.token_layers_beside(&card.card, held.len());
                Some(room / f64::from(held.len()))
            });
        rooms.sum::<f64>() < self.tokens * ENOUGH_ROOM
    }

    /// Counts the cards all of whose layers have another holder once one more card
    /// holds `added`.
    fn backed_up(&self, cover: &[u32], added: LayerRange) -> usize {
        let holders = |layer: u32| {
            let is_added = added.first() <= layer && layer < added.end();
            cover[layer as usize] + u32::from(is_added)
        };
        let held = self.held.iter().flatten();
        held.filter(|range| (range.first()..range.end()).all(|layer| holders(layer) > 1))
            .count()
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
        let spares = (0..self.cards.len()).filter(|at| {
            let card = self.cards[*at];
            let movable = card.takes_orders && card.held == self.held[*at];
            movable && self.held[*at].is_some_and(is_spare)
        });
        // The smallest card that closes the gap alone, else the largest one.
        let spare = spares.min_by_key(|at| {
            let size = self.single_size(*at);
            let is_too_small = size < gap.len();
            let waste = if is_too_small {
                self.spec.layers - size
            } else {
                size
            };
            (is_too_small, waste, std::cmp::Reverse(*at))
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
